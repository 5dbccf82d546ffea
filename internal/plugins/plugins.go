// Package plugins names the plug-ins that the program is built with. Importing it
// makes each of them register itself.
package plugins

import (
	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/decision/drain"
	"github.com/ebonywood/ebonywood/internal/decision/membership"
	"github.com/ebonywood/ebonywood/internal/decision/objectset"
	"github.com/ebonywood/ebonywood/internal/decision/promoter"
	"github.com/ebonywood/ebonywood/internal/edge/caller"
	"github.com/ebonywood/ebonywood/internal/edge/operator"
	"github.com/ebonywood/ebonywood/internal/edge/peer"
	"github.com/ebonywood/ebonywood/internal/edge/platform"
	"github.com/ebonywood/ebonywood/internal/edge/target"
)

// Decisions lists the decisions of a proxy in the order in which they see an
// event.
func Decisions() []string {
	return []string{objectset.Name, membership.Name, promoter.Name, drain.Name}
}

// Edges lists the edges that the settings call for. They stop in reverse order.
func Edges(settings ebonywood.Settings) []string {
	var names []string
	if settings.OperatorAddress() != "" {
		names = append(names, operator.Name)
	}
	names = append(names, platform.Name, target.Name)
	if settings.PeerAddress() != "" {
		names = append(names, peer.Name)
	}
	return append(names, caller.Name)
}
