package membership

// Probing has a constant cost: one proxy at a time, repeated through others only if the
// probe fails.

import (
	"slices"

	"github.com/ebonywood/ebonywood"
)

// resetAfterPause discards open probes, whose replies may have been missed while this
// process was paused, and extends all suspicion and retention times by the pause.
func (membership *Membership) resetAfterPause(gap ebonywood.Millis) {
	clear(membership.probes)
	for _, entry := range membership.entries {
		entry.since += gap
	}
}

// probeNext sends the next probe: an occasional exchange of the full state with a random
// proxy, a probe of an address from recontactAddress, or else a probe of the next live
// proxy.
func (membership *Membership) probeNext(now ebonywood.Millis) []ebonywood.Action {
	membership.probesSent++
	if membership.probesSent%membership.probesPerExchange() == 0 && len(membership.peers) > 1 {
		address := membership.peers[membership.random.IntN(len(membership.peers))].Address()
		if address != membership.self.Address() {
			return []ebonywood.Action{ebonywood.NewProbePeer(address, "", 0, true, membership.takeUpdates())}
		}
	}
	if address, found := membership.recontactAddress(); found {
		return []ebonywood.Action{ebonywood.NewProbePeer(address, "", 0, true, membership.takeUpdates())}
	}
	name, found := membership.nextPeer()
	if !found {
		return nil
	}
	return []ebonywood.Action{membership.startProbe(now, name)}
}

// probesPerExchange is the number of probes of which one requests the other proxy's full
// state, since gossip may miss a proxy by chance. It grows with the fleet, as the reply
// does, so that the bytes per second stay constant.
func (membership *Membership) probesPerExchange() uint64 {
	return uint64(max(minProbesPerExchange, len(membership.peers)/exchangeDivisor))
}

// recontactAddress returns a random address of a dead proxy, or of a seed or listed host
// without a live proxy. It returns false if there is no such address and, once this proxy
// has peers, for all but one of probesPerRecontact probes.
func (membership *Membership) recontactAddress() (string, bool) {
	if len(membership.peers) > 1 && membership.probesSent%probesPerRecontact != 0 {
		return "", false
	}
	var candidates []string
	for _, address := range slices.Concat(membership.seeds, membership.hostAddresses) {
		if !membership.liveAddresses[address] {
			candidates = append(candidates, address)
		}
	}
	for name := range membership.notAlive {
		if update := membership.entries[name].update; update.State() == ebonywood.PeerDead {
			candidates = append(candidates, update.Peer().Address())
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	slices.Sort(candidates)
	return candidates[membership.random.IntN(len(candidates))], true
}

// nextPeer returns the name of the next live proxy in the shuffled probe order, so that
// each is probed once per round, or false if there is no other live proxy.
func (membership *Membership) nextPeer() (string, bool) {
	for range 2 {
		for len(membership.probeOrder) > 0 {
			name := membership.probeOrder[0]
			membership.probeOrder = membership.probeOrder[1:]
			if entry, found := membership.entries[name]; found && entry.update.State() <= ebonywood.PeerSuspect {
				return name, true
			}
		}
		for _, peer := range membership.peers {
			if peer.Name() != membership.self.Name() {
				membership.probeOrder = append(membership.probeOrder, peer.Name())
			}
		}
		membership.random.Shuffle(len(membership.probeOrder), func(i, j int) {
			membership.probeOrder[i], membership.probeOrder[j] = membership.probeOrder[j], membership.probeOrder[i]
		})
	}
	return "", false
}

func (membership *Membership) startProbe(now ebonywood.Millis, name string) ebonywood.Action {
	membership.lastProbeNumber++
	membership.probes[membership.lastProbeNumber] = &probe{name: name, deadline: now + probeTimeout, number: membership.lastProbeNumber}
	address := membership.entries[name].update.Peer().Address()
	return ebonywood.NewProbePeer(address, "", membership.lastProbeNumber, false, membership.takeUpdates())
}

// probeEnded removes a probe that got a reply, and repeats a failed direct one through
// other proxies. Failed indirect ones are left to expire, since another path may succeed.
func (membership *Membership) probeEnded(now ebonywood.Millis, event ebonywood.ProbeEnded) []ebonywood.Action {
	pending, found := membership.probes[event.Number()]
	if !found {
		return nil
	}
	if event.HasReplied() {
		delete(membership.probes, event.Number())
		return nil
	}
	if pending.indirectCount > 0 {
		return nil
	}
	return membership.probeIndirectly(now, pending)
}

// probeIndirectly repeats a probe through other proxies, preferring those in other
// availability zones than that of this proxy. If there are none, the probe expires
// immediately.
func (membership *Membership) probeIndirectly(now ebonywood.Millis, pending *probe) []ebonywood.Action {
	pending.deadline = now + probeTimeout
	peer := membership.entries[pending.name].update.Peer()
	candidates := membership.samplePeers(peer.Name())
	slices.SortStableFunc(candidates, func(left, right ebonywood.PeerView) int {
		return zoneRank(left, membership.self) - zoneRank(right, membership.self)
	})
	var actions []ebonywood.Action
	for _, via := range candidates[:min(indirectProbes, len(candidates))] {
		pending.indirectCount++
		actions = append(actions, ebonywood.NewProbePeer(peer.Address(), via.Address(), pending.number, false, nil))
	}
	if pending.indirectCount == 0 {
		pending.deadline = now
	}
	return actions
}

// samplePeers returns a few random live proxies other than this one and the excluded
// one.
func (membership *Membership) samplePeers(excluded string) []ebonywood.PeerView {
	var sampled []ebonywood.PeerView
	for range indirectProbes * sampleFactor {
		peer := membership.peers[membership.random.IntN(len(membership.peers))]
		if peer.Name() != excluded && peer.Name() != membership.self.Name() && !slices.Contains(sampled, peer) {
			sampled = append(sampled, peer)
		}
	}
	return sampled
}

// zoneRank sorts proxies in the zone of self after those in other zones.
func zoneRank(peer, self ebonywood.PeerView) int {
	if peer.Zone() == self.Zone() {
		return 1
	}
	return 0
}

// expireProbes handles probes past their deadline. A direct one is repeated through
// other proxies, if there are any. Otherwise the probed proxy becomes suspect.
func (membership *Membership) expireProbes(now ebonywood.Millis) []ebonywood.Action {
	var actions []ebonywood.Action
	for _, number := range sortedNumbers(membership.probes) {
		pending := membership.probes[number]
		if now < pending.deadline {
			continue
		}
		entry, found := membership.entries[pending.name]
		if found && pending.indirectCount == 0 && len(membership.peers) > 2 {
			actions = append(actions, membership.probeIndirectly(now, pending)...)
			continue
		}
		delete(membership.probes, number)
		if found && entry.update.State() == ebonywood.PeerAlive {
			membership.applyUpdate(now, ebonywood.NewPeerUpdate(entry.update.Peer(), entry.update.Incarnation(), ebonywood.PeerSuspect))
		}
	}
	return actions
}

func sortedNumbers(probes map[uint64]*probe) []uint64 {
	numbers := make([]uint64, 0, len(probes))
	for number := range probes {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
