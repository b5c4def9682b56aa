package front

import (
	"net/http"
	"strings"
	"time"

	"github.com/azurespan/azurespan/declare"
	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/metric"
)

// Freshness is how certain it is that the configuration is the newest.
type Freshness struct {
	// Version is that of the configuration.
	Version uint64
	// Age is the time since the configuration was known to be the newest, on a clock
	// that counts suspensions of the machine.
	Age time.Duration
	// Unreachable is set while the log, where newer configurations are, can't be read.
	Unreachable bool
}

const (
	headerAuthorization = "Authorization"
	// keyScheme precedes a key, in any case (RFC 9110, section 11.1).
	keyScheme = "bearer"
	// maxAgeShare is the age of the configuration up to which keys are taken to hold,
	// as a share of the time within which a removed one must not be served; the rest
	// is for requests on their way.
	maxAgeShare = 0.6
)

// takeKey returns the caller's key and deletes its header. A request with several
// headers has none, because it would be ambiguous whose it is.
func takeKey(h http.Header) string {
	values := h.Values(headerAuthorization)
	h.Del(headerAuthorization)
	if len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(scheme, keyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// authorize finds the account of a request to one of the services by its key, unless all
// of them are anonymous. It refuses a request without a key that holds, and one for which
// that is uncertain.
func (x *exchange) authorize(config *declare.Index, services []string) error {
	needed := len(services) == 0 && len(config.Deployment.Accounts) > 0
	for _, s := range services {
		needed = needed || config.NeedsKey(s)
	}
	key := x.key
	x.key = ""
	if !needed {
		return nil
	}
	m := x.server.settings.Metrics
	account := config.AccountByKey(key)
	if account != nil {
		x.account = account.Name
	}
	var fresh Freshness
	if x.server.settings.Freshness != nil {
		fresh = x.server.settings.Freshness()
	}
	stale := fresh.Age > time.Duration(maxAgeShare*float64(config.Deployment.Limits.RevokeTime()))
	var f *fault.Fault
	switch {
	case account == nil && (stale || fresh.Unreachable):
		f = fault.New(fault.ConfigurationAge, "a newer configuration may have the key").WithRetry(x.retryDelay())
	case account == nil:
		f = fault.New(fault.Unauthorized, "the configuration has no account with the request's key")
		x.w.Header().Set("WWW-Authenticate", "Bearer")
	case stale:
		f = fault.New(fault.ConfigurationAge, "a newer configuration may lack the key of account %s", account.Name).WithRetry(x.retryDelay())
		m.Accounts.Denied(account.Name, metric.DenialStale)
	default:
		x.priority = account.Priority
		m.Accounts.Used(metric.Account{Name: account.Name, Unit: metric.UnitRequests}, 1)
		return nil
	}
	event.AccountRefused.Log("request", x.id, "status", f.Status(), "reason", string(f.Kind), "retry-after", f.RetryAfter, "account", x.account,
		"has-key", key != "", "configuration", fresh.Version, "age", fresh.Age, "log-reachable", !fresh.Unreachable)
	return f
}

// upstreamServices returns the service of an upstream as a list, empty if the upstream
// isn't declared.
func upstreamServices(config *declare.Index, upstream string) []string {
	if u := config.Upstream(upstream); u != nil {
		return []string{u.Service}
	}
	return nil
}
