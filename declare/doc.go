// Package declare is the library in which operators declare a deployment.
//
// A program fills in a Deployment, calls Validate, and prints it with Encode.
// The printed text is what `azurespan publish` sends. Validate reports all
// contradictions at once, each as a typed *Problem.
//
// A Deployment has failure domains, services, upstreams, models with versions
// and adapters. A service is either a model service, whose upstreams are
// engines that load models, or a plain service, whose upstreams answer HTTP
// calls. All sizes are bytes.
package declare
