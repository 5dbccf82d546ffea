// Package registry maps the names of plug-ins to their factories. Each plug-in's
// package calls AddDecision or AddEdge from its init function. The imports of the
// program determine which plug-ins are registered, the settings which of them are
// built.
package registry

import (
	"fmt"
	"slices"

	"github.com/ebonywood/ebonywood"
)

// Registry maps names to factories. The zero value is an empty registry, ready to
// use. It is not safe for concurrent registration; init functions run in sequence.
type Registry struct {
	decisions map[string]ebonywood.DecisionFactory
	edges     map[string]ebonywood.EdgeFactory
}

var standard Registry

// Standard returns the registry that plug-in packages register with.
func Standard() *Registry { return &standard }

// AddDecision registers a decision's factory with the standard registry.
func AddDecision(name string, factory ebonywood.DecisionFactory) {
	standard.AddDecision(name, factory)
}

// AddEdge registers an edge's factory with the standard registry.
func AddEdge(name string, factory ebonywood.EdgeFactory) {
	standard.AddEdge(name, factory)
}

// AddDecision registers a decision's factory. It panics if the name is already
// registered, which is a defect of the program.
func (registry *Registry) AddDecision(name string, factory ebonywood.DecisionFactory) {
	if registry.decisions == nil {
		registry.decisions = map[string]ebonywood.DecisionFactory{}
	}
	if _, taken := registry.decisions[name]; taken {
		panic(fmt.Sprintf("two decisions are registered as %q", name))
	}
	registry.decisions[name] = factory
}

// AddEdge registers an edge's factory. It panics if the name is already registered.
func (registry *Registry) AddEdge(name string, factory ebonywood.EdgeFactory) {
	if registry.edges == nil {
		registry.edges = map[string]ebonywood.EdgeFactory{}
	}
	if _, taken := registry.edges[name]; taken {
		panic(fmt.Sprintf("two edges are registered as %q", name))
	}
	registry.edges[name] = factory
}

// Decision returns the factory of a decision, and whether it is registered.
func (registry *Registry) Decision(name string) (ebonywood.DecisionFactory, bool) {
	factory, found := registry.decisions[name]
	return factory, found
}

// Edge returns the factory of an edge, and whether it is registered.
func (registry *Registry) Edge(name string) (ebonywood.EdgeFactory, bool) {
	factory, found := registry.edges[name]
	return factory, found
}

// Names returns the registered names of decisions and edges, sorted.
func (registry *Registry) Names() []string {
	var names []string
	for name := range registry.decisions {
		names = append(names, name)
	}
	for name := range registry.edges {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
