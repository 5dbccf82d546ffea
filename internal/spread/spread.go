// Package spread decides on how many of the proxies that serve an instance the statements of a
// workspace run.
//
// Each connection to a member belongs to one workspace, and opening one occupies a slot of the
// member, so a workspace with few statements should run on few proxies. A large one has to run
// on several, since one proxy has few connections, and then most of its callers find one in
// their own availability zone.
package spread

import "math"

// connectionShare is the share of the connections to a member that the workspaces divide by
// their weights; the rest is for those that get one proxy although their weight is less.
const connectionShare = 0.5

// Count returns the number of proxies for a workspace, from 1 to servers. weight is the
// workspace's expected load and total that of all workspaces, in the same unit; connections
// is how many connections each of the servers may open to a member.
func Count(weight, total float64, servers, connections int) int {
	if total <= 0 || servers <= 1 {
		return max(1, servers)
	}
	divided := connectionShare * float64(servers*connections) * weight / total
	return min(max(1, int(math.Ceil(divided))), servers)
}
