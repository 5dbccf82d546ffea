package promoter

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

// round gathers the answers to one status question to all members.
type round struct {
	number  uint64
	began   ebonywood.Millis
	members int
	replies map[ebonywood.MemberID]ebonywood.Status
	proved  bool
}

func newRound(number uint64, began ebonywood.Millis, members int) round {
	return round{number: number, began: began, members: members, replies: map[ebonywood.MemberID]ebonywood.Status{}}
}

// add takes a reply and returns the round's proof at the reply that completes
// it: a majority obeys one term, and the primary of that term is among them. A
// member that obeys a lower term does not count, since it can't vouch that no
// later primary exists.
func (round *round) add(id ebonywood.MemberID, status ebonywood.Status) (ebonywood.Proof, bool) {
	round.replies[id] = status
	if round.proved {
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
	if primary == nil || obeying < ebonywood.Majority(round.members) {
		return ebonywood.Proof{}, false
	}
	round.proved = true
	return ebonywood.NewProof(round.began, primary.LogEnd()), true
}

const (
	// recentSpan is how long every proof is kept; older ones are thinned out.
	recentSpan ebonywood.Millis = 2000
	// thinnedGap is the least time between two older proofs.
	thinnedGap ebonywood.Millis = 500
	// oldestProof is the greatest age that a read policy can have proved.
	oldestProof ebonywood.Millis = 60_000
)

// keepProof appends a proof to a copy of the list and drops those that are too
// many. The old list may be in use by a snapshot.
func keepProof(proofs []ebonywood.Proof, proof ebonywood.Proof) []ebonywood.Proof {
	kept := make([]ebonywood.Proof, 0, len(proofs)+1)
	for _, old := range proofs {
		age := proof.StartedAt() - old.StartedAt()
		tooOld := age > oldestProof
		crowded := age > recentSpan && len(kept) > 0 && old.StartedAt()-kept[len(kept)-1].StartedAt() < thinnedGap
		if !tooOld && !crowded {
			kept = append(kept, old)
		}
	}
	return slices.Clip(append(kept, proof))
}
