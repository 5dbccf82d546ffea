package metrics

import (
	"github.com/uber-go/tally/v4"

	"github.com/ebonywood/ebonywood"
)

const (
	// maxWorkspaceLabels bounds the series of refused callers for each code.
	maxWorkspaceLabels = 32
	// noWorkspace is the label of callers that belong to no workspace.
	noWorkspace = "none"
)

// Refusals counts refused callers by code and workspace.
type Refusals struct {
	scope  tally.Scope
	labels *Labels
}

// NewRefusals returns a count of refused callers in a scope.
func NewRefusals(scope tally.Scope) *Refusals {
	return &Refusals{scope: scope, labels: NewLabels(maxWorkspaceLabels)}
}

// Count counts a refused caller. workspace is nil if it belongs to none, or if its workspace is
// not known.
func (refusals *Refusals) Count(code string, workspace *ebonywood.Workspace) {
	label := noWorkspace
	if workspace != nil {
		label = refusals.labels.Label(workspace.Name())
	}
	refusals.scope.Tagged(map[string]string{"code": code, "workspace": label}).Counter("callersRefused").Inc(1)
}
