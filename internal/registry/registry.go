// Package registry is where plug-ins register themselves. Each plug-in's package
// calls AddDecision or AddEdge from its init function; the program decides by its
// imports which plug-ins exist, the settings decide which of them are built.
package registry

import (
	"fmt"
	"slices"

	"github.com/ebonywood/ebonywood"
)

// Registry maps names to factories. The zero value is empty and works.
type Registry struct {
	decisions map[string]ebonywood.DecisionFactory
	edges     map[string]ebonywood.EdgeFactory
}

var standard Registry

// Standard is the registry that plug-in packages register with.
func Standard() *Registry { return &standard }

// AddDecision registers a decision with the standard registry.
func AddDecision(name string, factory ebonywood.DecisionFactory) {
	standard.AddDecision(name, factory)
}

// AddEdge registers an edge with the standard registry.
func AddEdge(name string, factory ebonywood.EdgeFactory) {
	standard.AddEdge(name, factory)
}

// AddDecision registers a decision. A name taken twice is a defect of the
// program and panics.
func (registry *Registry) AddDecision(name string, factory ebonywood.DecisionFactory) {
	if registry.decisions == nil {
		registry.decisions = map[string]ebonywood.DecisionFactory{}
	}
	if _, taken := registry.decisions[name]; taken {
		panic(fmt.Sprintf("two decisions are registered as %q", name))
	}
	registry.decisions[name] = factory
}

// AddEdge registers an edge. A name taken twice panics.
func (registry *Registry) AddEdge(name string, factory ebonywood.EdgeFactory) {
	if registry.edges == nil {
		registry.edges = map[string]ebonywood.EdgeFactory{}
	}
	if _, taken := registry.edges[name]; taken {
		panic(fmt.Sprintf("two edges are registered as %q", name))
	}
	registry.edges[name] = factory
}

// Decision finds a factory.
func (registry *Registry) Decision(name string) (ebonywood.DecisionFactory, bool) {
	factory, found := registry.decisions[name]
	return factory, found
}

// Edge finds a factory.
func (registry *Registry) Edge(name string) (ebonywood.EdgeFactory, bool) {
	factory, found := registry.edges[name]
	return factory, found
}

// Names lists all registered names in order.
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
