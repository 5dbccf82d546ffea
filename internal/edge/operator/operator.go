// Package operator serves health, readiness, metrics, service levels and the state of
// the process to operators over HTTP. The interface is read-only; operators make
// changes by publishing object sets.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/clientguard"
	"github.com/ebonywood/ebonywood/internal/registry"
)

// Name is the plug-in's name.
const Name = "operator"

func init() {
	registry.AddEdge(Name, func(port ebonywood.Port) (ebonywood.Edge, error) { return New(port) })
}

// Edge is the HTTP server for operators.
type Edge struct {
	port     ebonywood.Port
	listener net.Listener
}

// New listens on the operator address of the settings.
func New(port ebonywood.Port) (*Edge, error) {
	address := port.Settings().OperatorAddress()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput,
			fmt.Sprintf("cannot listen for operators at %s: %v", address, err),
			"set operatorAddress to a free port of this host")
	}
	return &Edge{port: port, listener: listener}, nil
}

// Perform returns false, since the control loop has no actions for this edge.
func (edge *Edge) Perform(ebonywood.Action) bool { return false }

// metricsSource is a port whose metrics can be read over HTTP.
type metricsSource interface {
	MetricsHandler() http.Handler
}

// violationSource is a port that counts violations of invariants by name.
type violationSource interface {
	Violations() map[string]int
}

// Run serves HTTP requests until ctx ends.
func (edge *Edge) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", edge.health)
	mux.HandleFunc("GET /readyz", edge.ready)
	mux.HandleFunc("GET /status", edge.status)
	mux.HandleFunc("GET /levels", edge.levels)
	if source, ok := edge.port.(metricsSource); ok {
		mux.Handle("GET /metrics", source.MetricsHandler())
	}
	server := clientguard.NewPageServer(mux)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(clientguard.LimitPage(edge.port, "operators", edge.listener)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (edge *Edge) health(writer http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(writer, "ok")
}

// ready fails with status 503 before the first object set is in force and while the
// process drains.
func (edge *Edge) ready(writer http.ResponseWriter, _ *http.Request) {
	snapshot := edge.port.Snapshot()
	switch {
	case snapshot.IsDraining():
		http.Error(writer, "draining", http.StatusServiceUnavailable)
	case snapshot.ObjectSet() == nil:
		http.Error(writer, "no object set is in force yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(writer, "ready")
	}
}

// levels writes the service levels that 'ebonywood report' reads.
func (edge *Edge) levels(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(edge.port.ServiceLevels().Report(edge.port.Clock().Now()))
}

// statusReport is the state of a process as 'ebonywood status' reads it.
type statusReport struct {
	Name       string            `json:"name"`
	Zone       string            `json:"zone"`
	Generation uint64            `json:"generation"`
	Hash       string            `json:"hash"`
	Draining   bool              `json:"draining"`
	Peers      []string          `json:"peers"`
	Instances  []instanceReport  `json:"instances"`
	Workspaces []workspaceReport `json:"workspaces,omitempty"`
	Violations map[string]int    `json:"violations"`
}

// workspaceReport is a workspace with the numbers of its keys and users.
type workspaceReport struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Keys     int     `json:"keys"`
	Users    int     `json:"users"`
}

type instanceReport struct {
	ID      ebonywood.InstanceID `json:"id"`
	Term    ebonywood.Term       `json:"term"`
	Primary ebonywood.MemberID   `json:"primary"`
	Proofs  int                  `json:"proofs"`
}

func (edge *Edge) status(writer http.ResponseWriter, _ *http.Request) {
	snapshot := edge.port.Snapshot()
	settings := edge.port.Settings()
	response := statusReport{Name: settings.Name(), Zone: settings.Zone(), Draining: snapshot.IsDraining()}
	for _, peer := range snapshot.Peers() {
		response.Peers = append(response.Peers, peer.Name())
	}
	if set := snapshot.ObjectSet(); set != nil {
		response.Generation, response.Hash = set.Generation(), set.Hash()
		for _, workspace := range set.Workspaces() {
			response.Workspaces = append(response.Workspaces, workspaceReport{
				Name: workspace.Name(), Priority: workspace.Priority(), Rate: workspace.Rate(), Burst: workspace.Burst(),
				Keys: len(workspace.Keys()), Users: len(workspace.Users()),
			})
		}
		for _, instance := range set.Instances() {
			if view, found := snapshot.View(instance.ID()); found {
				response.Instances = append(response.Instances, instanceReport{
					ID: view.ID(), Term: view.Term(), Primary: view.Primary(), Proofs: len(view.Proofs()),
				})
			}
		}
	}
	if source, ok := edge.port.(violationSource); ok {
		response.Violations = source.Violations()
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(response)
}
