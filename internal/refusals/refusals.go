// Package refusals counts callers that are refused before or instead of a session.
package refusals

import (
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/boundedlabel"
)

const (
	// maxWorkspaceLabels bounds the series of refused callers for each code.
	maxWorkspaceLabels = 32
	// noWorkspace is the label of callers that belong to no workspace.
	noWorkspace = "none"
)

// Counter counts refused callers by code and workspace.
type Counter struct {
	scope  tally.Scope
	labels *boundedlabel.Labels
}

// New returns a count of refused callers in a scope.
func New(scope tally.Scope) *Counter {
	return &Counter{scope: scope, labels: boundedlabel.New(maxWorkspaceLabels)}
}

// Count counts a refused caller. workspace is nil if it belongs to none, or if its workspace is
// not known.
func (counter *Counter) Count(code string, workspace *ebonywood.Workspace) {
	label := noWorkspace
	if workspace != nil {
		label = counter.labels.Label(workspace.Name())
	}
	counter.scope.Tagged(map[string]string{"code": code, "workspace": label}).Counter("callersRefused").Inc(1)
}
