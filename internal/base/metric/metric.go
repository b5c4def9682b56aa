package metric

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics holds the metrics of one daemon. All fields are safe for concurrent
// use.
type Metrics struct {
	// RequestSeconds is the time from receipt to the last byte of the
	// response, by class and outcome (see Outcomes).
	RequestSeconds *prometheus.HistogramVec
	// FirstTokenSeconds is the time from receipt to the first token, by class.
	FirstTokenSeconds *prometheus.HistogramVec
	// TokenIntervalSeconds is the time between tokens of one response.
	TokenIntervalSeconds prometheus.Histogram
	// QueueSeconds is the time that a request waits in the queue, by class.
	QueueSeconds *prometheus.HistogramVec
	// Refusals counts refused requests by reason: a fault kind, or a reason of
	// the relay on an entry host.
	Refusals *prometheus.CounterVec
	// ColdStartSeconds is the time from a request for a model that is not
	// loaded to the end of the load that serves it.
	ColdStartSeconds prometheus.Histogram
	// IdleAcceleratorSeconds is the time that accelerators hold a loaded model
	// without a request, summed over accelerators.
	IdleAcceleratorSeconds prometheus.Counter
	// ControlSentBytes and ControlReceivedBytes are the control traffic, by
	// source (see Sources).
	ControlSentBytes     *prometheus.CounterVec
	ControlReceivedBytes *prometheus.CounterVec
	// Streams is the number of responses in progress.
	Streams prometheus.Gauge
	// Loads counts finished loads by outcome, ok or failed.
	Loads *prometheus.CounterVec
	// LoadSeconds is the duration of successful loads.
	LoadSeconds prometheus.Histogram
	// LogUnreachableSeconds is the time since the log service last responded,
	// 0 while it responds.
	LogUnreachableSeconds prometheus.Gauge
	// Holder is 1 while this daemon may order loads on an entry host.
	Holder prometheus.Gauge
	// WaitingRequests is the number of requests that wait for an upstream.
	WaitingRequests prometheus.Gauge
	// RetryTokens is the remainder of the retry budget, the least of all
	// services.
	RetryTokens prometheus.Gauge
	// StoreConcurrency is the number of concurrent loads from the weight store
	// that the holder allows.
	StoreConcurrency prometheus.Gauge
	// ShortModels counts the models that are short and get no copy, once a second, by
	// reason.
	ShortModels *prometheus.CounterVec
	// HolderAgeSeconds, RegisterAgeSeconds and ConfigAgeSeconds are the ages
	// of this daemon's information from the holder, of its register of
	// upstreams and of its configuration.
	HolderAgeSeconds, RegisterAgeSeconds, ConfigAgeSeconds prometheus.Gauge
	// CrashSuspects is the number of fingerprints with known crashes, and
	// Quarantined that of those which are refused. QuarantinedParts is the number
	// of parts of prompts with which requests are refused.
	CrashSuspects, Quarantined, QuarantinedParts prometheus.Gauge
	// SuspectSends counts requests sent to upstreams although upstreams had
	// crashed under them, by the number of crashes known (see CrashCounts).
	SuspectSends *prometheus.CounterVec
	// Trials counts the runs of disputed suspects by their end (see TrialEnds).
	// HeldSuspects is the number of requests that wait because a repetition of them
	// runs, and ContestedAttributes that of the attributes that the holder names.
	Trials                            *prometheus.CounterVec
	HeldSuspects, ContestedAttributes prometheus.Gauge
	// LimitedSends counts requests sent to upstreams that have named a limit, and
	// AllowanceLoans counts questions to delegates for allowances of client accounts, by
	// outcome: LoanGranted, LoanNone or LoanFailed.
	AllowanceLoans *prometheus.CounterVec
	// LimitedUpstreams is the number of such upstreams.
	LimitedSends     prometheus.Counter
	LimitedUpstreams prometheus.Gauge
	// SlotGrants counts the slots of contended engines that the holder granted to the
	// daemon, and ContendedEngines is the number of engines whose slots it grants.
	SlotGrants       prometheus.Counter
	ContendedEngines prometheus.Gauge
	// UpstreamSilences counts the silences of upstreams that were longer than the
	// time after which another upstream is considered.
	UpstreamSilences prometheus.Counter
	// StreamEnds counts the ends of upstreams' responses to requests for streams (see
	// StreamEndKinds).
	StreamEnds *prometheus.CounterVec
	// StreamEndChecks counts the questions whether an upstream's process has outlived a
	// response that ended with its connection (see StreamEndResults).
	StreamEndChecks *prometheus.CounterVec
	// UpstreamPathLost is 1 while the daemon reaches upstreams only through others,
	// and ForwardedConnections counts the connections that it asked others for.
	UpstreamPathLost     prometheus.Gauge
	ForwardedConnections *prometheus.CounterVec
	// OpenTunnels is the number of connections that the daemon forwards.
	OpenTunnels prometheus.Gauge
	// ClientsTurnedAway counts clients that were refused or whose connection was closed,
	// by listener and reason. ClientConnections and ClientMemory are what the clients of a
	// listener take.
	ClientsTurnedAway               *prometheus.CounterVec
	ClientConnections, ClientMemory *prometheus.GaugeVec
	// ConfigLagSeconds and DrainLagSeconds are upper bounds of the time from the
	// log's acknowledgement until this daemon put a configuration in force, and no
	// longer used an upstream that started to drain.
	ConfigLagSeconds, DrainLagSeconds prometheus.Histogram
	// ConfigurationOffset is the version of the configuration in force.
	ConfigurationOffset prometheus.Gauge
	// LogEra is the number of returns of the log from an older copy. PositionsDropped
	// counts positions in topics that such a return made void, and RecordsRewritten
	// the records that were written again after one.
	LogEra                             prometheus.Gauge
	PositionsDropped, RecordsRewritten prometheus.Counter
	// LogOmitted counts the log lines that limits suppressed, and the things that a line
	// sums up without naming them, by event.
	LogOmitted *prometheus.CounterVec
	// Accounts are the metrics by client account.
	Accounts *Accounts

	entries []Entry
}

// Values of the label outcome of RequestSeconds.
const (
	// OutcomeOK is a complete response.
	OutcomeOK = "ok"
	// OutcomeRefused is a problem document in place of a response.
	OutcomeRefused = "refused"
	// OutcomeBroken is a response that broke off after its start.
	OutcomeBroken = "broken"
	// OutcomeSlowReader is a response that was cut off because the caller
	// read too slowly.
	OutcomeSlowReader = "slow-reader"
	// OutcomeCallerGone is a request whose caller closed the connection.
	OutcomeCallerGone = "caller-gone"
	// OutcomeUpstreamFailure is an upstream's own error response, passed on
	// to the caller.
	OutcomeUpstreamFailure = "upstream-failure"
)

// Values of the label source of ControlSentBytes and ControlReceivedBytes.
const (
	SourceLog     = "log"
	SourceHosts   = "hosts"
	SourceEngines = "engines"
	SourcePeers   = "peers"
)

// Sources lists the values of the label source.
var Sources = []string{SourceLog, SourceHosts, SourceEngines, SourcePeers}

// Values of the label outcome of AllowanceLoans.
const (
	// LoanGranted means that a delegate has lent something.
	LoanGranted = "granted"
	// LoanNone means that no delegate had anything to lend.
	LoanNone = "none"
	// LoanFailed means that a delegate didn't answer.
	LoanFailed = "failed"
)

// Values of the label crashes of SuspectSends.
const (
	CrashesOne  = "1"
	CrashesTwo  = "2"
	CrashesMore = "3-or-more"
)

// Values of the label end of StreamEnds.
const (
	EndChunks     = "chunks"
	EndLength     = "length"
	EndConnection = "connection"
	EndBroken     = "broken"
)

// StreamEndKinds lists the values of the label end of StreamEnds.
var StreamEndKinds = []string{EndChunks, EndLength, EndConnection, EndBroken}

// Values of the label result of StreamEndChecks.
const (
	EndOutlived    = "outlived"
	EndNotOutlived = "not-outlived"
)

// StreamEndResults lists the values of the label result.
var StreamEndResults = []string{EndOutlived, EndNotOutlived}

// Values of the label end of Trials.
const (
	TrialAnswered = "answered"
	TrialCrashed  = "crashed"
	TrialOther    = "other"
)

// TrialEnds lists the values of the label end.
var TrialEnds = []string{TrialAnswered, TrialCrashed, TrialOther}

// Values of the label outcome of ForwardedConnections.
const (
	ForwardOK     = "ok"
	ForwardFailed = "failed"
)

// CrashCounts lists the values of the label crashes.
var CrashCounts = []string{CrashesOne, CrashesTwo, CrashesMore}

// Outcomes lists the values of the label outcome of RequestSeconds.
var Outcomes = []string{OutcomeOK, OutcomeRefused, OutcomeBroken, OutcomeSlowReader, OutcomeCallerGone, OutcomeUpstreamFailure}

// Histogram buckets, in seconds. Those of the first token and of the token
// interval contain the targets of 1.1 s and 79 ms, so that the share of
// requests within a target is exact.
var (
	requestBuckets  = []float64{.005, .02, .1, .25, .5, 1.1, 2, 5, 10, 30, 60, 120, 300, 600, 1800}
	firstBuckets    = []float64{.01, .05, .1, .25, .5, .75, 1.1, 2, 4, 8, 15, 30, 60, 120, 300}
	intervalBuckets = []float64{.002, .005, .01, .02, .04, .079, .15, .3, 1, 5}
	queueBuckets    = []float64{.001, .005, .02, .1, .5, 1.1, 2, 5, 15, 30, 60, 300, 600}
	lagBuckets      = []float64{.02, .05, .1, .2, .3, .4, .5, .75, 1, 1.25, 1.5, 1.75, 2, 2.5, 3, 4, 6, 10, 30}
	loadBuckets     = []float64{.005, .01, .05, .25, 1, 2, 5, 10, 20, 40, 80, 160, 320}
)

// New returns the metrics of one daemon, registered with reg together with
// the process collector. A nil reg registers nothing, for use in tests and
// tools. New panics if reg already has one of the names.
func New(reg prometheus.Registerer) *Metrics {
	b := &builder{reg: reg}
	m := &Metrics{
		RequestSeconds:         b.histogramVec("azurespan_request_duration_seconds", "Time from receipt to the last byte of the response.", requestBuckets, "class", "outcome"),
		FirstTokenSeconds:      b.histogramVec("azurespan_first_token_seconds", "Time from receipt to the first token.", firstBuckets, "class"),
		TokenIntervalSeconds:   b.histogram("azurespan_token_interval_seconds", "Time between tokens of one response.", intervalBuckets),
		QueueSeconds:           b.histogramVec("azurespan_queue_seconds", "Time that a request waits in the queue.", queueBuckets, "class"),
		Refusals:               b.counterVec("azurespan_refusals_total", "Refused requests by reason.", "reason"),
		ColdStartSeconds:       b.histogram("azurespan_cold_start_seconds", "Time from a request for a model that is not loaded to the end of the load that serves it.", loadBuckets),
		IdleAcceleratorSeconds: b.counter("azurespan_idle_accelerator_seconds_total", "Time that accelerators hold a loaded model without a request, summed over accelerators."),
		ControlSentBytes:       b.counterVec("azurespan_control_sent_bytes_total", "Control traffic sent by source (log, hosts, engines, peers).", "source"),
		ControlReceivedBytes:   b.counterVec("azurespan_control_received_bytes_total", "Control traffic received by source.", "source"),
		Streams:                b.gauge("azurespan_streams_in_progress", "Responses in progress, streamed or not."),
		Loads:                  b.counterVec("azurespan_loads_total", "Finished loads by outcome (ok, failed).", "outcome"),
		LoadSeconds:            b.histogram("azurespan_load_seconds", "Duration of successful loads.", loadBuckets),
		LogUnreachableSeconds:  b.gauge("azurespan_log_unreachable_seconds", "Time for which the log service has not responded; 0 while it responds."),
		Holder:                 b.gauge("azurespan_holder", "1 while this daemon may order loads on an entry host's platform, else 0."),
		WaitingRequests:        b.gauge("azurespan_waiting_requests", "Requests that wait for an upstream on an entry host."),
		RetryTokens:            b.gauge("azurespan_retry_tokens", "Retries that the retry budget allows now, the least of all services."),
		StoreConcurrency:       b.gauge("azurespan_store_loads_at_once", "Concurrent loads from the weight store that the holder allows."),
		ShortModels:            b.counterVec("azurespan_short_models_total", "Models that requests wait for, or whose copies don't serve their load in time, and that get no further copy, counted once a second for each, by reason (no-room, store-busy, no-weights, order-pending, protected, warm-up).", "reason"),
		HolderAgeSeconds:       b.gauge("azurespan_holder_news_age_seconds", "Age of the last information from the holder, the daemon that orders loads."),
		RegisterAgeSeconds:     b.gauge("azurespan_register_age_seconds", "Time since this daemon last knew the register of upstreams up to its end, read from the log or received from the holder."),
		ConfigAgeSeconds:       b.gauge("azurespan_configuration_age_seconds", "Time since this daemon last knew the topic of the configuration up to its end, read from the log or received from the holder."),
		CrashSuspects:          b.gauge("azurespan_crash_suspects", "Requests, by fingerprint, under which upstreams are known to have crashed recently."),
		Quarantined:            b.gauge("azurespan_quarantined_requests", "What requests are refused for that crash upstreams, other than parts of prompts: the request itself, its path, its body, its model and others."),
		QuarantinedParts:       b.gauge("azurespan_quarantined_prompt_parts", "Parts of prompts with which requests are refused because they crash upstreams."),
		UpstreamSilences:       b.counter("azurespan_upstream_silences_total", "Silences of upstreams after which another upstream was considered for the request."),
		StreamEnds:             b.counterVec("azurespan_stream_ends_total", "Ends of upstreams' responses to requests for streams, by what ended them: the last chunk (chunks), the length (length), the connection in a response without either (connection), or an end before that (broken).", "end"),
		StreamEndChecks:        b.counterVec("azurespan_stream_end_checks_total", "Streams with neither a length nor chunks that ended after an event, by whether the upstream's process still ran (outlived, not-outlived).", "result"),
		UpstreamPathLost:       b.gauge("azurespan_upstream_path_lost", "1 while this daemon reaches upstreams only through other daemons, else 0."),
		ForwardedConnections:   b.counterVec("azurespan_forwarded_connections_total", "Connections to upstreams that this daemon asked another one for, by outcome (ok, failed).", "outcome"),
		OpenTunnels:            b.gauge("azurespan_open_tunnels", "Connections to upstreams that this daemon forwards for others."),
		ClientsTurnedAway:      b.counterVec("azurespan_clients_turned_away_total", "Clients that were refused or whose connection was closed, by listener (callers, readiness, metrics, admin, forward, control) and reason (no-connections, no-memory, too-many-fields, too-large, gave-way-idle, gave-way-unfinished, gave-way-unread, stalled-request, stalled-answer).", "listener", "reason"),
		ClientConnections:      b.gaugeVec("azurespan_client_connections", "Open connections by listener.", "listener"),
		ClientMemory:           b.gaugeVec("azurespan_client_memory_bytes", "Memory that the connections and requests of a listener's clients take, by listener.", "listener"),
		LimitedSends:           b.counter("azurespan_limited_sends_total", "Requests sent to an upstream that had named a rate limit."),
		SlotGrants:             b.counter("azurespan_slot_grants_total", "Slots of contended engines that the holder granted to the daemon."),
		ContendedEngines:       b.gauge("azurespan_contended_engines", "Engines whose slots the holder grants, as far as the daemon knows."),
		LimitedUpstreams:       b.gauge("azurespan_limited_upstreams", "Upstreams that name a rate limit, as far as the daemon knows."),
		AllowanceLoans:         b.counterVec("azurespan_allowance_loans_total", "Questions to delegates of the holder for allowances of client accounts, while the holder doesn't answer, by outcome (granted, none, failed).", "outcome"),
		SuspectSends:           b.counterVec("azurespan_suspect_sends_total", "Requests sent to an upstream although upstreams had crashed under them, by the number of crashes known to the daemon (1, 2, 3-or-more).", "crashes"),
		Trials:                 b.counterVec("azurespan_trials_total", "Requests under which upstreams had crashed that were sent as the only one of their repetitions, by the end of the run (answered, crashed, other).", "end"),
		HeldSuspects:           b.gauge("azurespan_held_suspects", "Requests that wait because upstreams have crashed under a repetition of them, and another one runs or has to run first."),
		ContestedAttributes:    b.gauge("azurespan_contested_attributes", "Attributes whose requests run one at a time over all daemons, as the holder names them."),
		ConfigLagSeconds:       b.histogram("azurespan_configuration_lag_seconds", "Upper bound of the time from the log's acknowledgement of a configuration until this daemon put it in force: the time since the daemon, or the holder for it, last knew that there was no newer one. The first configuration after a start isn't counted.", lagBuckets),
		DrainLagSeconds:        b.histogram("azurespan_drain_lag_seconds", "Upper bound of the time from the log's acknowledgement that an upstream is draining until this daemon put that in force: the time since the daemon, or the holder for it, last knew the register up to its end.", lagBuckets),
		ConfigurationOffset:    b.gauge("azurespan_configuration_offset", "Version of the configuration in force, the offset of its record; 0 before the first."),
		LogEra:                 b.gauge("azurespan_log_era", "Era of the log, the number of its returns from an older copy."),
		PositionsDropped:       b.counter("azurespan_log_positions_dropped_total", "Positions in topics that became void when the log returned from an older copy."),
		RecordsRewritten:       b.counter("azurespan_log_records_rewritten_total", "Records that were written again after the log had returned from an older copy."),
		LogOmitted:             b.counterVec("azurespan_log_omitted_total", "Log lines that were not written because of a limit on the lines of an event, and changed crash histories that a line sums up without naming them, by event.", "event"),
		Accounts:               newAccounts(b),
	}
	// Create the series at 0, so that Prometheus sees their first increase.
	for _, source := range Sources {
		m.ControlSentBytes.WithLabelValues(source)
		m.ControlReceivedBytes.WithLabelValues(source)
	}
	for _, o := range []string{ForwardOK, ForwardFailed} {
		m.ForwardedConnections.WithLabelValues(o)
	}
	for _, outcome := range []string{LoanGranted, LoanNone, LoanFailed} {
		m.AllowanceLoans.WithLabelValues(outcome)
	}
	for _, e := range StreamEndKinds {
		m.StreamEnds.WithLabelValues(e)
	}
	for _, e := range StreamEndResults {
		m.StreamEndChecks.WithLabelValues(e)
	}
	for _, n := range CrashCounts {
		m.SuspectSends.WithLabelValues(n)
	}
	for _, e := range TrialEnds {
		m.Trials.WithLabelValues(e)
	}
	if reg != nil {
		reg.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	}
	b.add("process_cpu_seconds_total", "counter", "User and system CPU time of the process (process collector).")
	b.add("process_resident_memory_bytes", "gauge", "Resident memory of the process (process collector).")
	m.entries = b.entries
	return m
}
