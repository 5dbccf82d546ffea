package succession

// A stop of writes precedes the switchover of an instance whose commits synchronous
// replicas confirm. A promoted member leads with what it had received, and its position
// proves something only for the moment of the reply: the former primary may commit more,
// confirmed by another replica, until the promotion takes effect. So the holder of the
// duty first requests that no proxy sends writes. The proxies that serve the instance
// report when none of theirs is in flight, and only then are the positions queried.

import (
	"slices"
	"strings"

	"github.com/ebonywood/ebonywood"
)

const (
	// maxWriteStop is how long a stop may last in a proxy. The proxy that requested it may
	// have ended, or be cut off.
	maxWriteStop ebonywood.Millis = 5000
	// stopTimeout is the time within which the proxies have to stop their writes.
	stopTimeout ebonywood.Millis = 1000
	// postponeDelay is the time between two attempts of a switchover, in which the writes
	// go on.
	postponeDelay ebonywood.Millis = 2000
	// promotionWindow is the time after the request of a stop in which a promotion may be
	// ordered. It takes effect before the first proxy resumes its writes.
	promotionWindow = maxWriteStop - promotionTimeout - 500
)

// writeStopState is the stop of writes to one instance in this process. The zero value is
// that of an instance without one.
type writeStopState struct {
	// current is the stop in force, zero without one. It began at beganAt; stopped is set
	// once no write is in flight.
	current ebonywood.WriteStop
	beganAt ebonywood.Millis
	stopped bool
	// ended is the last stop that has ended; it does not begin again.
	ended ebonywood.WriteStop
	// own is a stop that this process requests although it has lost the duty, since its
	// order may still take effect.
	own ebonywood.WriteStop
}

// requestedStop returns the latest stop of writes to the instance that any proxy
// requests, zero if there is none. This process's own requests are not taken from its
// report, which may be out of date.
func (decision *Succession) requestedStop(instance *instanceState) ebonywood.WriteStop {
	latest := instance.ownStop()
	for _, stop := range decision.peerStops {
		if stop.Instance() == instance.id && latest.IsBefore(stop) {
			latest = stop
		}
	}
	return latest
}

// ownStop returns the stop that this process requests, zero if there is none.
func (instance *instanceState) ownStop() ebonywood.WriteStop {
	if instance.failover != nil && !instance.failover.stop.IsZero() {
		return instance.failover.stop
	}
	return instance.writes.own
}

// dropFailover discards the failover in progress. If its order may still take effect, this
// process goes on requesting the stop of writes, until that ends by itself.
func (instance *instanceState) dropFailover() {
	if instance.failover != nil && instance.failover.phase == phasePromoting {
		instance.writes.own = instance.failover.stop
	}
	instance.failover = nil
}

// setReports replaces the reports of the proxies, and the stops of writes that the other
// proxies request in them.
func (decision *Succession) setReports(now ebonywood.Millis, reports []ebonywood.ProxyReport) []ebonywood.Action {
	decision.reports, decision.peerStops = reports, nil
	for _, report := range reports {
		if report.Name() != decision.self {
			decision.peerStops = append(decision.peerStops, report.RequestedStops()...)
		}
	}
	return decision.updateWriteStops(now)
}

// updateWriteStops begins and ends stops of writes as the proxies request, and ends those
// that have lasted for maxWriteStop.
func (decision *Succession) updateWriteStops(now ebonywood.Millis) []ebonywood.Action {
	var actions []ebonywood.Action
	for _, instance := range decision.instances {
		requested := decision.requestedStop(instance)
		writes := &instance.writes
		switch {
		case writes.ended.IsBefore(requested) && requested != writes.current:
			actions = append(actions, instance.stopWrites(now, requested)...)
		case !writes.current.IsZero() && requested != writes.current:
			actions = append(actions, instance.resumeWrites(now, "withdrawn")...)
		case !writes.current.IsZero() && now-writes.beganAt >= maxWriteStop:
			actions = append(actions, instance.resumeWrites(now, "timeout")...)
		}
	}
	return append(actions, decision.announceWriteStops()...)
}

// stopWrites begins a stop; it replaces an earlier one.
func (instance *instanceState) stopWrites(now ebonywood.Millis, stop ebonywood.WriteStop) []ebonywood.Action {
	instance.writes.current, instance.writes.beganAt, instance.writes.stopped = stop, now, false
	instance.cachedView = nil
	return []ebonywood.Action{
		ebonywood.NewStopWrites(stop),
		ebonywood.NewLogMessage("writesHeld", "instance", instance.id, "token", stop.Token(), "round", stop.Round()),
	}
}

// resumeWrites ends the stop in force, if there is one.
func (instance *instanceState) resumeWrites(now ebonywood.Millis, reason string) []ebonywood.Action {
	writes := &instance.writes
	if writes.current.IsZero() {
		return nil
	}
	heldFor := now - writes.beganAt
	instance.writes = writeStopState{ended: writes.current}
	instance.cachedView = nil
	return []ebonywood.Action{
		ebonywood.NewResumeWrites(instance.id),
		ebonywood.NewLogMessage("writesResumed", "instance", instance.id, "reason", reason, "heldForMs", int64(heldFor)),
	}
}

// writesStopped records that this process has no write in flight.
func (instance *instanceState) writesStopped(stop ebonywood.WriteStop) {
	if instance.writes.current == stop {
		instance.writes.stopped = true
	}
}

// announceWriteStops reports the stops that this process requests, and those that it has
// carried out for instances that it serves, if they have changed since the last report.
func (decision *Succession) announceWriteStops() []ebonywood.Action {
	var requested, stopped []ebonywood.WriteStop
	for id, instance := range decision.instances {
		if stop := instance.ownStop(); !stop.IsZero() {
			requested = append(requested, stop)
		}
		if instance.writes.stopped && decision.isServed(id) {
			stopped = append(stopped, instance.writes.current)
		}
	}
	slices.SortFunc(requested, compareStops)
	slices.SortFunc(stopped, compareStops)
	if slices.Equal(requested, decision.announcedStops.Requested()) && slices.Equal(stopped, decision.announcedStops.Stopped()) {
		return nil
	}
	decision.announcedStops = ebonywood.NewAnnounceWriteStops(requested, stopped)
	return []ebonywood.Action{decision.announcedStops}
}

// compareStops orders stops by their instances.
func compareStops(left, right ebonywood.WriteStop) int {
	return strings.Compare(string(left.Instance()), string(right.Instance()))
}

// startSwitchover requests a stop of the writes to the instance, whose primary still
// runs.
func (decision *Succession) startSwitchover(now ebonywood.Millis, instance *instanceState, reason failoverReason) []ebonywood.Action {
	decision.stopRounds++
	instance.failover = &failover{
		reason: reason, phase: phaseStoppingWrites, phaseStartedAt: now,
		stop: ebonywood.NewWriteStop(instance.id, decision.token, decision.stopRounds), stopRequestedAt: now,
	}
	return []ebonywood.Action{ebonywood.NewLogMessage("changeBegins", "instance", instance.id, "member", instance.primary, "reason", string(reason))}
}

// advanceStop queries the candidates once all proxies that serve the instance have
// stopped their writes. If some don't within stopTimeout, the switchover is given up for
// now and the writes go on.
func (decision *Succession) advanceStop(now ebonywood.Millis, instance *instanceState) []ebonywood.Action {
	failover := instance.failover
	missing := decision.proxiesWithWrites(instance)
	if len(missing) == 0 {
		return instance.queryReplicationStatus(now, failover.reason)
	}
	if now-failover.phaseStartedAt < stopTimeout {
		return nil
	}
	failover.backOff(now, postponeDelay)
	return []ebonywood.Action{ebonywood.NewLogMessage("changePostponed", "instance", instance.id, "reason", "writes in flight", "proxies", missing)}
}

// proxiesWithWrites returns the names of the proxies that serve the instance and have not
// reported that they carried out the requested stop.
func (decision *Succession) proxiesWithWrites(instance *instanceState) (names []string) {
	stop := instance.failover.stop
	if instance.writes.current != stop || !instance.writes.stopped {
		names = append(names, decision.self)
	}
	for _, report := range decision.voters(instance.id) {
		if report.Name() != decision.self && !slices.Contains(report.WriteStops(), stop) {
			names = append(names, report.Name())
		}
	}
	return names
}
