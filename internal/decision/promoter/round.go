package promoter

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

// round collects the members' replies to one status query.
type round struct {
	number      uint64
	startedAt   ebonywood.Millis
	memberCount int
	replies     map[ebonywood.MemberID]ebonywood.Status
	hasProof    bool
}

func newRound(number uint64, startedAt ebonywood.Millis, memberCount int) round {
	return round{number: number, startedAt: startedAt, memberCount: memberCount, replies: map[ebonywood.MemberID]ebonywood.Status{}}
}

// add records a reply. It returns the round's proof with the reply that completes
// it: a majority obeys one term, and the primary of that term is among them. A
// member that obeys a lower term does not count, since it can't rule out a later
// primary.
func (round *round) add(id ebonywood.MemberID, status ebonywood.Status) (ebonywood.Proof, bool) {
	round.replies[id] = status
	if round.hasProof {
		return ebonywood.Proof{}, false
	}
	var highest ebonywood.Term
	for _, reply := range round.replies {
		highest = max(highest, reply.FencedTerm())
	}
	obeying := 0
	var primary *ebonywood.Status
	for _, reply := range round.replies {
		if reply.FencedTerm() != highest {
			continue
		}
		obeying++
		if reply.Role() == ebonywood.RolePrimary {
			primary = &reply
		}
	}
	if primary == nil || obeying < ebonywood.Majority(round.memberCount) {
		return ebonywood.Proof{}, false
	}
	round.hasProof = true
	return ebonywood.NewProof(round.startedAt, primary.LogEnd()), true
}

const (
	// recentWindow is the age up to which every proof is kept. Older proofs are
	// thinned out.
	recentWindow ebonywood.Millis = 2000
	// minOlderProofGap is the minimum interval between two proofs older than
	// recentWindow.
	minOlderProofGap ebonywood.Millis = 500
	// maxProofAge is the age at which a proof is dropped, and so the largest
	// maximum age of a read policy that can be proven.
	maxProofAge ebonywood.Millis = 60_000
)

// appendProof returns a copy of the list with the new proof, without the proofs that
// are too old or too close together. It copies because a snapshot may share the old
// list.
func appendProof(proofs []ebonywood.Proof, proof ebonywood.Proof) []ebonywood.Proof {
	kept := make([]ebonywood.Proof, 0, len(proofs)+1)
	for _, old := range proofs {
		age := proof.StartedAt() - old.StartedAt()
		tooOld := age > maxProofAge
		tooClose := age > recentWindow && len(kept) > 0 && old.StartedAt()-kept[len(kept)-1].StartedAt() < minOlderProofGap
		if !tooOld && !tooClose {
			kept = append(kept, old)
		}
	}
	return slices.Clip(append(kept, proof))
}
