package succession

// A promotion abandons what the promoted member lacks: commits of the former primary, and
// of replicas that were ahead. A member that was away meanwhile may come back with them, and
// with the highest position of all, also with one of a later term than that of the promoted
// member's last record. If it were promoted, commits that were rolled back would be in force
// again, after reads without them, and those of the time between would be lost. So a
// candidate's log has to descend from that of the present primary, or to be a part of it.

import (
	"github.com/ebonywood/ebonywood"
)

const (
	// maxBranches is how many promotions are remembered.
	maxBranches = 32
	// abandonedLogWait is how long after the loss of a primary members with an abandoned log
	// are not promoted. Until then the primary, or a member with its log, may come back.
	abandonedLogWait ebonywood.Millis = 20_000
	// abandonedLogInterval is the minimum time between two log lines about members with an
	// abandoned log.
	abandonedLogInterval ebonywood.Millis = 1000
)

// lineage is what this process knows of the promotions in one instance. The zero value
// knows of none.
type lineage struct {
	branches []branch
	// primary is the last confirmed primary, also while it is lost; empty if promotions may
	// have been missed since.
	primary ebonywood.MemberID
	// newestTerm is the newest term that is known to have begun.
	newestTerm ebonywood.Term
	// loggedAt is when members with an abandoned log were last logged.
	loggedAt ebonywood.Millis
}

// branch is one promotion: the records up to start, which may be too low, are those that the
// promoted member had. Records after them are abandoned unless they are of firstTerm or a
// later one.
type branch struct {
	start     uint64
	firstTerm ebonywood.Term
}

// recordLineage adds the promotion that the evidence of another primary shows, if there was
// one.
func (instance *instanceState) recordLineage(event ebonywood.PrimaryObserved) {
	lineage, position := &instance.lineage, event.Position()
	wasPromoted := lineage.primary != "" && lineage.primary != event.Member()
	lineage.primary = event.Member()
	if start, found := instance.branchStart(event); wasPromoted && found {
		lineage.newestTerm++
		lineage.branches = append(lineage.branches, branch{start: start, firstTerm: lineage.newestTerm})
		lineage.branches = lineage.branches[max(0, len(lineage.branches)-maxBranches):]
	}
	lineage.newestTerm = max(lineage.newestTerm, position.Term())
}

// branchStart returns the number of records that a newly promoted member had, or fewer;
// found is false if that is not known. As long as its last record is of an earlier term, it
// has committed nothing, and its log is what it had. Otherwise it had at least what it
// reported before the order.
func (instance *instanceState) branchStart(event ebonywood.PrimaryObserved) (start uint64, found bool) {
	if event.Position().Term() <= instance.lineage.newestTerm {
		return event.Position().Offset(), true
	}
	failover := instance.failover
	if failover != nil && failover.order.Member() == event.Member() {
		return failover.orderedPosition.Offset(), true
	}
	return 0, false
}

// isAbandoned reports whether a log up to a position holds records that a promotion has
// rolled back.
func (lineage *lineage) isAbandoned(position ebonywood.Position) bool {
	return lineage.sharedRecords(position) < position.Offset()
}

// sharedRecords returns how many records of a log up to a position no promotion has rolled
// back.
func (lineage *lineage) sharedRecords(position ebonywood.Position) uint64 {
	shared := position.Offset()
	for _, branch := range lineage.branches {
		if position.Term() < branch.firstTerm {
			shared = min(shared, branch.start)
		}
	}
	return shared
}

// holds reports whether a log up to a position has all records of another that no promotion
// has rolled back.
func (lineage *lineage) holds(position, other ebonywood.Position) bool {
	if lineage.isAbandoned(other) {
		return position.Offset() >= lineage.sharedRecords(other)
	}
	return !position.Less(other)
}

// acceptsAbandoned reports whether a member with an abandoned log may be promoted, since no
// better one has come for long.
func (instance *instanceState) acceptsAbandoned(now ebonywood.Millis) bool {
	return instance.lostAt > 0 && now-instance.lostAt >= abandonedLogWait
}

// logAbandoned returns a log line with the members that replied with an abandoned log, if
// there are any and the last such line is old enough.
func (instance *instanceState) logAbandoned(now ebonywood.Millis) []ebonywood.Action {
	if now-instance.lineage.loggedAt < abandonedLogInterval {
		return nil
	}
	var members []string
	for _, member := range instance.members {
		id := member.listed.Member().ID()
		if status, replied := instance.failover.replies[id]; replied && instance.lineage.isAbandoned(status.Received()) {
			members = append(members, string(id)+" "+status.Received().String())
		}
	}
	if len(members) == 0 {
		return nil
	}
	instance.lineage.loggedAt = now
	return []ebonywood.Action{ebonywood.NewLogMessage("abandonedLogs", "instance", instance.id, "members", members)}
}
