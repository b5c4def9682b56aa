package front

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/api/oas"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/node/calls"
)

// Range of HTTP status codes that a service may respond with.
const (
	minServiceStatus = 200
	maxServiceStatus = 599
)

// serveService serves a call of a plain service. rest is the escaped path after
// servicePathPrefix: service name, slash, path.
func (s *Server) serveService(x *exchange, r *http.Request, rest string) {
	c, err := s.convertServiceCall(x, r, rest)
	if err != nil {
		x.refuse(err)
		return
	}
	stop := x.cancelAfterDeadline(c.Deadline, errNotStarted)
	res, err := s.backend.Invoke(x.ctx, c)
	stop()
	if err != nil {
		x.refuse(err)
		return
	}
	if res.Status < minServiceStatus || res.Status > maxServiceStatus {
		x.refuse(fault.New(fault.UpstreamInvalid, "the service answered with status %d", res.Status).WithRun(fault.RunYes))
		return
	}
	h := x.w.Header()
	if res.ContentType != "" {
		h.Set(headerContentType, res.ContentType)
	}
	if res.Replayed {
		h.Set("Idempotency-Replayed", "true")
	}
	if bodyAllowed(res.Status) {
		h.Set("Content-Length", strconv.Itoa(len(res.Body)))
	}
	x.w.WriteHeader(res.Status)
	if r.Method == http.MethodHead || !bodyAllowed(res.Status) {
		return
	}
	if _, err := x.w.Write(res.Body); err != nil {
		x.outcome = x.abortedOutcome(err)
		panic(http.ErrAbortHandler)
	}
}

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// convertServiceCall converts a request to a call of a plain service.
func (s *Server) convertServiceCall(x *exchange, r *http.Request, rest string) (calls.ServiceCall, error) {
	name, escaped, _ := strings.Cut(rest, "/")
	path, err := canonicalPath("/" + escaped)
	if err != nil {
		return calls.ServiceCall{}, err
	}
	if name, err = url.PathUnescape(name); err != nil || name == "" {
		return calls.ServiceCall{}, fieldErrorf("service", "is missing in the path")
	}
	config := s.backend.Config()
	if config != nil {
		if err := x.authorize(config, []string{name}); err != nil {
			return calls.ServiceCall{}, err
		}
	}
	c := calls.ServiceCall{
		ID: x.id.String(), Account: x.account, Service: name, Method: r.Method, Path: path, RawQuery: r.URL.RawQuery,
		ContentType: r.Header.Get(headerContentType), Body: x.body,
	}
	if v := r.Header.Values(HeaderIdempotencyKey); len(v) > 0 {
		if c.Key, err = parseKey(v[0]); err != nil {
			return calls.ServiceCall{}, err
		}
	}
	var service *declare.Service
	var class declare.Class
	if config != nil {
		if service = config.Service(name); service != nil {
			class = callClass(service, r.Method, path)
		}
	}
	var deadline oas.OptString
	if v := r.Header.Values(HeaderDeadline); len(v) > 0 {
		deadline.SetTo(v[0])
	}
	given := r.Header.Get(HeaderClass)
	if given == "" && len(r.Header.Values(HeaderClass)) > 0 {
		return calls.ServiceCall{}, fieldErrorf(HeaderClass, "is empty")
	}
	c.Class, c.Deadline, err = s.classAndDeadline(x, given, deadline, service, class)
	return c, err
}

// callClass returns the class of the declared call that matches method and has
// the longest prefix of path, or an empty class if none matches.
func callClass(s *declare.Service, method, path string) declare.Class {
	best := -1
	var class declare.Class
	for _, c := range s.Calls {
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) && len(c.PathPrefix) > best {
			best, class = len(c.PathPrefix), c.Class
		}
	}
	return class
}

// canonicalPath returns the canonical form of an escaped path. It refuses paths
// that an upstream might resolve to a different one: the rules for calls that
// must not be repeated are selected by path prefix, and /a/../booking must not
// match the prefix /a.
func canonicalPath(escaped string) (string, error) {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return "", fieldErrorf("path", "has an invalid escape")
	}
	if strings.Contains(strings.ToLower(escaped), "%2f") || strings.ContainsAny(path, "\\\x00") {
		return "", fieldErrorf("path", "has an escaped slash, a backslash or a zero byte")
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if s == "." || s == ".." || (s == "" && i < len(segments)-1) {
			return "", fieldErrorf("path", "has an empty, . or .. segment")
		}
	}
	return (&url.URL{Path: path}).EscapedPath(), nil
}
