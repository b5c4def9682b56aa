// Package declare is the library in which operators declare a deployment.
//
// A program fills in a Deployment, calls Validate, and writes it with Encode.
// `azurespan publish` publishes the resulting text. Validate reports all
// problems together, each as a *Problem.
//
// A Deployment has failure domains, services, upstreams, models with versions
// and adapters. A service is either a model service, whose upstreams are
// engines that load models, or a plain service, whose upstreams handle HTTP
// calls. All sizes are in bytes.
package declare
