package directory

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/ebonywood/ebonywood"
)

// nodeValue is the JSON value of a proxy's node key: its report.
type nodeValue struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Address  string   `json:"address"`
	Suspects []string `json:"suspects,omitempty"`
	Leaving  bool     `json:"leaving,omitempty"`
	// RequestedStops are the stops of writes that the proxy requests, WriteStops those that
	// it has carried out.
	RequestedStops []stopValue `json:"requestedStops,omitempty"`
	WriteStops     []stopValue `json:"writeStops,omitempty"`
	// Era is that of the directory when the report was written.
	Era ebonywood.Era `json:"era,omitempty"`
}

// report converts the value.
func (value nodeValue) report() ebonywood.ProxyReport {
	suspects := make([]ebonywood.MemberID, 0, len(value.Suspects))
	for _, suspect := range value.Suspects {
		suspects = append(suspects, ebonywood.MemberID(suspect))
	}
	peer := ebonywood.NewPeerView(value.Name, value.Zone, value.Address)
	report := ebonywood.NewProxyReport(peer, suspects, value.Leaving)
	return report.WithWriteStops(decodeStops(value.RequestedStops), decodeStops(value.WriteStops))
}

// stopValue is the JSON form of a stop of writes.
type stopValue struct {
	Instance string `json:"instance"`
	Token    int64  `json:"token"`
	Round    int64  `json:"round"`
}

func encodeStops(stops []ebonywood.WriteStop) (values []stopValue) {
	for _, stop := range stops {
		values = append(values, stopValue{Instance: string(stop.Instance()), Token: stop.Token(), Round: stop.Round()})
	}
	return values
}

func decodeStops(values []stopValue) (stops []ebonywood.WriteStop) {
	for _, value := range values {
		stops = append(stops, ebonywood.NewWriteStop(ebonywood.InstanceID(value.Instance), value.Token, value.Round))
	}
	return stops
}

// listReports returns the reports in the items of an era, ordered by name. Keys that can't be
// decoded are skipped.
func (edge *Edge) listReports(items map[string]ebonywood.Item, era ebonywood.Era) (reports []ebonywood.ProxyReport) {
	listed := map[string]nodeValue{}
	for key, item := range items {
		var value nodeValue
		if strings.HasPrefix(key, nodePrefix) && json.Unmarshal(item.Value(), &value) == nil {
			listed[key] = value
		}
	}
	if edge.wasJustRestored() {
		edge.keepLostReports(listed, era)
	}
	edge.reports = listed
	for _, value := range listed {
		reports = append(reports, value.report())
	}
	slices.SortFunc(reports, func(left, right ebonywood.ProxyReport) int {
		return strings.Compare(left.Name(), right.Name())
	})
	return reports
}

// keepLostReports replaces what a directory that was restored from a backup lists by what was known
// before, for proxies that have not written since. Whether such a proxy still holds its writes
// is not known.
func (edge *Edge) keepLostReports(listed map[string]nodeValue, era ebonywood.Era) {
	for key, known := range edge.reports {
		if value, found := listed[key]; found && value.Era >= era {
			continue
		}
		known.WriteStops = nil
		listed[key] = known
	}
}
