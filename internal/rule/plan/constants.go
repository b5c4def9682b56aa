package plan

import "time"

const (
	// defaultStoreConcurrency is the most loads from the weight store at a time while
	// nothing is known of it, and initialStoreTime what they may take together if it
	// serves one at a time: of the known stores, one that takes 6 s serves four loads at a
	// time, those that take 7.8 and 10.2 s two, and one that takes 13.2 s one.
	defaultStoreConcurrency      = 4
	initialStoreTime             = 24 * time.Second
	maxStoreConcurrency          = 16
	defaultStoreWindow           = 5 * time.Second
	defaultMaxEngineAdapterLoads = 4
	defaultMaxAdapterLoads       = 24

	// rateTimeConstant is the time constant of the smoothed arrival rates: a
	// shift of demand shows within it.
	rateTimeConstant = 6 * time.Second
	// minTrackedRate is the smoothed rate, in requests per second, below which
	// demand is dropped.
	minTrackedRate = 0.005
	// daemonExpiry is how long the demand of a silent daemon counts.
	daemonExpiry = 2 * time.Second
	// slowLoadMargin is the multiple of the time of a load from the disk from which the
	// rest of a load in progress is longer than another one from the disk is worth.
	slowLoadMargin = 2
	// drainTime is the time that an unload takes if requests in progress have to
	// end: most streams of the known deployments take 1 to 3 s.
	drainTime = 2 * time.Second
	// lostReports is the number of daemons that can't reach an engine from which it is
	// taken to be gone, rather than one daemon's path to it.
	lostReports = 2
	// minDemandPeriod is the shortest period that received demand is assumed
	// to cover. Over a shorter one, a single request would make a model hot.
	minDemandPeriod = 2 * time.Second
	// copyCapacity is the arrival rate, in requests per second, that one copy
	// serves before prompts queue for it.
	copyCapacity = 28.0
	// limitedShare is the share of an engine's rate limit that requests for one
	// model may take: it holds others as well.
	limitedShare = 0.5
	// minDemandRate is the arrival rate, in requests per second, below which a
	// model without waiting or running requests needs no copy.
	minDemandRate = 0.01
	// fullSlotShare is the share of an engine's slots that one model may occupy
	// before it gets another copy.
	fullSlotShare = 0.6
	// hotRate is the arrival rate, in requests per second, from which a model
	// gets a copy in each failure domain, so that the loss of one domain
	// doesn't stop it.
	hotRate = 2.5
	// priorRate is added to the arrival rate of each model, in requests per
	// second: a model without recent requests will be requested some time.
	priorRate = 0.05
	// priorAdapterRate is the same for each of its adapters.
	priorAdapterRate = 0.01
	// arrivalHorizon is how far ahead arrivals count in the value of a copy, in
	// seconds.
	arrivalHorizon = 6.0
	// waitingCost is the cost of a waiting request that no copy can serve, in
	// seconds of delay.
	waitingCost = 3.0
	// queuedCost is the cost of a waiting request whose model is loaded but has
	// no free slot, in seconds of delay.
	queuedCost = 0.7
	// missingCopyCost is the cost per arriving request, in seconds of delay, if
	// the load calls for one more copy.
	missingCopyCost = 0.5
	// spareCopyValue is the value of the first copy beyond those that the load
	// needs, in seconds of delay saved per arriving request: it serves if the
	// others fail.
	spareCopyValue = 0.06
	// runningCost is the cost of an eviction for each request in progress on
	// the copy, in seconds of delay.
	runningCost = 0.8
	// surplusLoss is the loss of evicting a copy beyond the wanted number, in
	// seconds of delay; surplusLossPerRate is added per request per second.
	surplusLoss        = 0.01
	surplusLossPerRate = 0.01
	// baseLoss is the fixed part of the loss of evicting a spare copy or the
	// last one, in seconds of delay.
	baseLoss = 0.05
	// minEvictionLoss is the least loss of an eviction, in seconds of delay.
	minEvictionLoss = 0.01
	// blockedAdapterCost is the cost, in seconds of delay, of an adapter
	// request whose engine accepts no orders: other copies serve most of them.
	blockedAdapterCost = 0.4
	// baseLoadRate is added to the arrival rate by which load times are
	// weighed, in requests per second.
	baseLoadRate = 0.2
	// sameDomainCost is the cost of each copy that the failure domain of an
	// engine already has, per request per second; minSpreadRate is the lowest
	// rate that it is multiplied by.
	sameDomainCost = 0.3
	minSpreadRate  = 0.1
	// freeMemoryCost is the cost of an engine per GB of free weight memory: the
	// fullest engine on which a model fits is preferred.
	freeMemoryCost = 0.002
	mbPerGB        = 1000
	// demandWarmUp is the time after the first decision in which only models
	// with waiting requests or too few copies are loaded: a new holder doesn't
	// know the demand yet.
	demandWarmUp = 1200 * time.Millisecond
	// evictionWarmUp is the time for which a new holder takes models that it has
	// not heard of yet for unused. Until demand has been heard for that long, models
	// are evicted only in favour of one without a copy for which at least
	// warmUpUnserved requests wait.
	evictionWarmUp = 3 * time.Second
	warmUpUnserved = 4
	// measuredWarmUp is the same where slot times are known: all daemons report within two
	// intervals of 0.2 s.
	measuredWarmUp = 400 * time.Millisecond
	// reloadOverhead is added to the load time for the unload before it, in
	// seconds.
	reloadOverhead = 0.8
	// maxSpreadDomains limits the failure domains over which a hot model is
	// spread.
	maxSpreadDomains = 3
	// maxModelsPerDecision limits the models for which one decision searches an
	// engine.
	maxModelsPerDecision = 24
	// maxEngineWait is how long a load from the weight store is deferred in
	// favour of a busy engine that has the weights. engineWaitCooldown is the
	// time after that until the load may be deferred again.
	maxEngineWait      = 1500 * time.Millisecond
	engineWaitCooldown = 8 * time.Second
	// lostLoadFactor is the multiple of the expected duration after which a
	// load no longer counts against the weight store: its engine can't be
	// reached.
	lostLoadFactor = 4
	// evictMargin is the factor by which the gain of a load must exceed the
	// loss of the evictions that it needs.
	evictMargin = 1.2
	// minCopyAge protects a copy that has just been loaded from eviction.
	minCopyAge = 1500 * time.Millisecond
	// unloadNotice is the time between the announcement of an unload and its
	// order, in which daemons stop sending requests to the copy.
	unloadNotice = 60 * time.Millisecond
	// slowLoadFactor is the multiple of the expected duration above which a
	// load shows that the store is overcommitted.
	slowLoadFactor = 1.3
	// concurrencySlack multiplies a measured store concurrency, to allow for
	// the time that orders and reports take.
	concurrencySlack = 1.2
	// ceilingTTL is how long the concurrency that slow loads have shown holds. After it, the
	// store may serve more, and finding out costs the first of several loads its precedence.
	ceilingTTL = 10 * time.Minute
	// minOverdue is the number of overdue loads in progress that show that the store is
	// overcommitted. One alone may be of an order that was carried out late.
	minOverdue = 2
	// concurrencyStep is added to the store concurrency after each load that
	// wasn't slow. Once that allows for one load more, it is first ordered when the rest of
	// all others is at most probeShare of their durations, so that they lose little if the
	// store can't serve it as well.
	concurrencyStep = 0.25
	probeShare      = 0.3
	// onTimeFactor is the multiple of its expected duration within which a load at full
	// speed ends, and onTimeMargin the time for its order and the report of its end.
	onTimeFactor = 1.01
	onTimeMargin = 300 * time.Millisecond
	// minProbe is the share of the duration of a load for which another one must have run
	// beside it to show anything.
	minProbe = 0.1
	// yieldFactor is the factor by which the gain of another load from the weight store
	// must exceed that of one that was planned earlier to go before it.
	yieldFactor = 2
	// minVirtualTime is the least service time of a load from the store, in
	// seconds, from which its concurrency is computed.
	minVirtualTime = 0.01
)
