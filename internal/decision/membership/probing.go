package membership

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

// Probing has a constant cost: one proxy at a time, repeated through others only
// when it fails.

// forgive drops what may have been missed while this process was paused.
func (membership *Membership) forgive(gap ebonywood.Millis) {
	clear(membership.probes)
	for _, belief := range membership.beliefs {
		belief.since += gap
	}
}

func (membership *Membership) probeNext(now ebonywood.Millis) []ebonywood.Action {
	membership.sent++
	if membership.sent%membership.exchangeEvery() == 0 && len(membership.peers) > 1 {
		address := membership.peers[membership.random.IntN(len(membership.peers))].Address()
		if address != membership.self.Address() {
			return []ebonywood.Action{ebonywood.NewProbePeer(address, "", 0, true, membership.takeNews())}
		}
	}
	if address, found := membership.stranger(); found {
		return []ebonywood.Action{ebonywood.NewProbePeer(address, "", 0, true, membership.takeNews())}
	}
	name, found := membership.nextInRing()
	if !found {
		return nil
	}
	return []ebonywood.Action{membership.startProbe(now, name)}
}

// exchangeEvery is how many probes go by before one asks for all that the other
// knows, since news may miss a proxy by chance. It grows with the fleet, as the
// answer does, so that the bytes a second stay the same.
func (membership *Membership) exchangeEvery() uint64 {
	return uint64(max(leastExchange, len(membership.peers)/exchangeShare))
}

// stranger picks, now and then, an address that is not among the live.
func (membership *Membership) stranger() (string, bool) {
	if len(membership.peers) > 1 && membership.sent%recontactEvery != 0 {
		return "", false
	}
	var strangers []string
	for _, address := range slices.Concat(membership.seeds, membership.hosts) {
		if !membership.addresses[address] {
			strangers = append(strangers, address)
		}
	}
	for name := range membership.doubtful {
		if known := membership.beliefs[name].update; known.State() == ebonywood.PeerDead {
			strangers = append(strangers, known.Peer().Address())
		}
	}
	if len(strangers) == 0 {
		return "", false
	}
	slices.Sort(strangers)
	return strangers[membership.random.IntN(len(strangers))], true
}

// nextInRing takes the live proxies in a shuffled order, so that each is probed
// once a round.
func (membership *Membership) nextInRing() (string, bool) {
	for range 2 {
		for len(membership.ring) > 0 {
			name := membership.ring[0]
			membership.ring = membership.ring[1:]
			if known, found := membership.beliefs[name]; found && known.update.State() <= ebonywood.PeerSuspect {
				return name, true
			}
		}
		for _, peer := range membership.peers {
			if peer.Name() != membership.self.Name() {
				membership.ring = append(membership.ring, peer.Name())
			}
		}
		membership.random.Shuffle(len(membership.ring), func(i, j int) {
			membership.ring[i], membership.ring[j] = membership.ring[j], membership.ring[i]
		})
	}
	return "", false
}

func (membership *Membership) startProbe(now ebonywood.Millis, name string) ebonywood.Action {
	membership.number++
	membership.probes[membership.number] = &probe{name: name, until: now + probeLimit, number: membership.number}
	address := membership.beliefs[name].update.Peer().Address()
	return ebonywood.NewProbePeer(address, "", membership.number, false, membership.takeNews())
}

// answered ends a probe, or repeats a failed one through others.
func (membership *Membership) answered(now ebonywood.Millis, event ebonywood.ProbeEnded) []ebonywood.Action {
	waiting, found := membership.probes[event.Number()]
	if !found {
		return nil
	}
	if event.HasReplied() {
		delete(membership.probes, event.Number())
		return nil
	}
	if waiting.indirect > 0 {
		return nil
	}
	return membership.askHelpers(now, waiting)
}

// askHelpers repeats a probe through proxies of other zones, as far as there are
// any.
func (membership *Membership) askHelpers(now ebonywood.Millis, waiting *probe) []ebonywood.Action {
	waiting.until = now + probeLimit
	target := membership.beliefs[waiting.name].update.Peer()
	candidates := membership.sample(target.Name())
	slices.SortStableFunc(candidates, func(left, right ebonywood.PeerView) int {
		return sameZone(left, membership.self) - sameZone(right, membership.self)
	})
	var actions []ebonywood.Action
	for _, helper := range candidates[:min(helpers, len(candidates))] {
		waiting.indirect++
		actions = append(actions, ebonywood.NewProbePeer(target.Address(), helper.Address(), waiting.number, false, nil))
	}
	if waiting.indirect == 0 {
		waiting.until = now
	}
	return actions
}

// sample draws a few live proxies other than this one and the target.
func (membership *Membership) sample(target string) []ebonywood.PeerView {
	var drawn []ebonywood.PeerView
	for range helpers * sampleFactor {
		peer := membership.peers[membership.random.IntN(len(membership.peers))]
		if peer.Name() != target && peer.Name() != membership.self.Name() && !slices.Contains(drawn, peer) {
			drawn = append(drawn, peer)
		}
	}
	return drawn
}

func sameZone(peer, self ebonywood.PeerView) int {
	if peer.Zone() == self.Zone() {
		return 1
	}
	return 0
}

// expireProbes suspects those whom neither this proxy nor others reached.
func (membership *Membership) expireProbes(now ebonywood.Millis) []ebonywood.Action {
	var actions []ebonywood.Action
	for _, number := range sortedKeys(membership.probes) {
		waiting := membership.probes[number]
		if now < waiting.until {
			continue
		}
		known, found := membership.beliefs[waiting.name]
		if found && waiting.indirect == 0 && len(membership.peers) > 2 {
			actions = append(actions, membership.askHelpers(now, waiting)...)
			continue
		}
		delete(membership.probes, number)
		if found && known.update.State() == ebonywood.PeerAlive {
			membership.believe(now, ebonywood.NewPeerUpdate(known.update.Peer(), known.update.Incarnation(), ebonywood.PeerSuspect))
		}
	}
	return actions
}

func sortedKeys(probes map[uint64]*probe) []uint64 {
	keys := make([]uint64, 0, len(probes))
	for key := range probes {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
