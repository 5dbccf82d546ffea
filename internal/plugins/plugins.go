// Package plugins lists the plug-ins of a proxy. Importing it links them into the
// program, so that each registers itself.
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

// Decisions returns the names of a proxy's decisions in the order in which they
// handle an event.
func Decisions() []string {
	return []string{objectset.Name, membership.Name, promoter.Name, drain.Name}
}

// Edges returns the names of the edges that the settings require, in the order in
// which they start. They stop in reverse order.
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
