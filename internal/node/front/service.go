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

// serveService answers a call of a plain service. rest is the escaped path
// after the prefix: service, slash, path.
func (f *Server) serveService(x *exchange, r *http.Request, rest string) {
	c, err := f.call(x, r, rest)
	if err != nil {
		x.refuse(err)
		return
	}
	stop := x.guard(c.Deadline, errNotBegun)
	a, err := f.backend.Invoke(x.ctx, c)
	stop()
	if err != nil {
		x.refuse(err)
		return
	}
	if a.Status < 200 || a.Status > 599 {
		x.refuse(fault.New(fault.UpstreamInvalid, "the service answered with status %d", a.Status).WithRun(fault.RunYes))
		return
	}
	h := x.w.Header()
	if a.ContentType != "" {
		h.Set(contentType, a.ContentType)
	}
	if a.Replayed {
		h.Set("Idempotency-Replayed", "true")
	}
	if bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	x.w.WriteHeader(a.Status)
	if r.Method == http.MethodHead || !bodyAllowed(a.Status) {
		return
	}
	if _, err := x.w.Write(a.Body); err != nil {
		x.outcome = x.brokenOutcome(err)
		panic(http.ErrAbortHandler)
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// call converts a request to a call of a plain service.
func (f *Server) call(x *exchange, r *http.Request, rest string) (calls.ServiceCall, error) {
	name, escaped, _ := strings.Cut(rest, "/")
	path, err := canonicalPath("/" + escaped)
	if err != nil {
		return calls.ServiceCall{}, err
	}
	if name, err = url.PathUnescape(name); err != nil || name == "" {
		return calls.ServiceCall{}, badField("service", "is missing in the path")
	}
	c := calls.ServiceCall{
		ID: x.id.String(), Service: name, Method: r.Method, Path: path, RawQuery: r.URL.RawQuery,
		ContentType: r.Header.Get(contentType), Body: x.body,
	}
	if v := r.Header.Values(HeaderIdempotencyKey); len(v) > 0 {
		if c.Key, err = parseKey(v[0]); err != nil {
			return calls.ServiceCall{}, err
		}
	}
	var service *declare.Service
	var class declare.Class
	if config := f.backend.Config(); config != nil {
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
		return calls.ServiceCall{}, badField(HeaderClass, "is empty")
	}
	c.Class, c.Deadline, err = f.terms(x, given, deadline, service, class)
	return c, err
}

// callClass returns the class of the call with the longest path prefix that
// matches, empty if none does.
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

// canonicalPath returns the one spelling of an escaped path. It refuses paths
// that an upstream might resolve to another one: rules for calls that must not
// be repeated are chosen by path prefix, and /a/../booking must not pass as
// something under /a.
func canonicalPath(escaped string) (string, error) {
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return "", badField("path", "has an invalid escape")
	}
	if strings.Contains(strings.ToLower(escaped), "%2f") || strings.ContainsAny(path, "\\\x00") {
		return "", badField("path", "has an escaped slash, a backslash or a zero byte")
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if s == "." || s == ".." || (s == "" && i < len(segments)-1) {
			return "", badField("path", "has an empty, . or .. segment")
		}
	}
	return (&url.URL{Path: path}).EscapedPath(), nil
}
