// Package objectfile reads object sets from YAML and checks each set as one.
//
// All faults are reported at once, each with its file, line, object and field
// and what to do about it: an operator who publishes in a hurry should not learn
// of them one by one. YAML nodes are walked by hand for the sake of the line
// numbers; decoding into structs was tried first and loses them for references.
package objectfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/yamlobject"
)

// The kinds of object.
const (
	kindGroup  = "databaseGroup"
	kindPolicy = "readPolicy"
	kindRoute  = "route"
)

const fileMarker = "# file: "

// Join makes one text of several files, marked so that faults can still name the
// file. names and texts go together.
func Join(names []string, texts [][]byte) []byte {
	var joined bytes.Buffer
	for i, text := range texts {
		joined.WriteString("---\n" + fileMarker + names[i] + "\n")
		joined.Write(bytes.TrimSpace(text))
		joined.WriteString("\n")
	}
	return joined.Bytes()
}

// Hash names a content.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Parse reads and checks a joined text. The error's message has one line for
// each fault.
func Parse(generation uint64, content []byte) (*ebonywood.ObjectSet, error) {
	reading := newReading(content)
	reading.readAll(content)
	reading.checkAll()
	if len(reading.faults) > 0 {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, strings.Join(reading.faults, "\n"),
			"mend these and check the set again")
	}
	return ebonywood.NewObjectSet(generation, Hash(content), content, reading.instances, reading.routes), nil
}

// reading is one pass over a set.
type reading struct {
	files     []fileStart
	faults    []string
	groups    map[string]*group
	policies  map[string]*ebonywood.ReadPolicy
	pending   []pendingRoute
	places    map[string]string
	addresses map[string]string
	instances []ebonywood.Instance
	routes    []*ebonywood.Route
}

type fileStart struct {
	line int
	name string
}

type group struct {
	instances []ebonywood.InstanceID
}

type pendingRoute struct {
	object yamlobject.Object
}

func newReading(content []byte) *reading {
	reading := &reading{
		groups: map[string]*group{}, policies: map[string]*ebonywood.ReadPolicy{},
		places: map[string]string{}, addresses: map[string]string{},
	}
	for i, line := range strings.Split(string(content), "\n") {
		if name, found := strings.CutPrefix(line, fileMarker); found {
			reading.files = append(reading.files, fileStart{line: i + 1, name: name})
		}
	}
	return reading
}

// place turns a line of the joined text into file and line.
func (reading *reading) place(line int) string {
	file := fileStart{name: "set"}
	for _, start := range reading.files {
		if start.line <= line {
			file = start
		}
	}
	return fmt.Sprintf("%s:%d", file.name, line-file.line)
}

func (reading *reading) fault(line int, subject, message, remedy string) {
	reading.faults = append(reading.faults, fmt.Sprintf("%s: %s: %s; %s", reading.place(line), subject, message, remedy))
}

// yamlLine finds the line in a message of the YAML library, which counts in the
// joined text.
var yamlLine = regexp.MustCompile(`^yaml: line (\d+): `)

// syntaxFault names the file and the line of text that is not YAML.
func (reading *reading) syntaxFault(err error) {
	message, line := err.Error(), 1
	if found := yamlLine.FindStringSubmatch(message); found != nil {
		line, _ = strconv.Atoi(found[1])
		message = strings.TrimPrefix(message, found[0])
	}
	reading.faults = append(reading.faults, fmt.Sprintf("%s: %s; mend the YAML", reading.place(line), message))
}

func (reading *reading) readAll(content []byte) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			reading.syntaxFault(err)
			return
		}
		if len(document.Content) > 0 && document.Content[0].Kind == yaml.MappingNode {
			reading.readObject(document.Content[0])
		}
	}
}

func (reading *reading) readObject(node *yaml.Node) {
	fields := yamlobject.New(node, "object", reading.fault)
	kind := fields.Text("kind", "")
	name := fields.Text("name", "")
	fields = fields.Named(kind + "/" + name)
	if name == "" {
		fields.Complain(node.Line, "name", "is missing", "give the object a name")
	}
	if first, taken := reading.places[fields.Subject()]; taken {
		fields.Complain(node.Line, "name", "is taken by the object at "+first, "choose another name")
	}
	reading.places[fields.Subject()] = reading.place(node.Line)
	switch kind {
	case kindGroup:
		reading.readGroup(fields, name)
	case kindPolicy:
		reading.readPolicy(fields, name)
	case kindRoute:
		reading.pending = append(reading.pending, pendingRoute{fields})
	default:
		fields.Complain(node.Line, "kind", fmt.Sprintf("%q is unknown", kind), "use databaseGroup, readPolicy or route")
	}
}

func (reading *reading) readGroup(fields yamlobject.Object, name string) {
	found := &group{}
	for _, instance := range fields.List("instances") {
		fields := yamlobject.New(instance, fields.Subject(), reading.fault)
		id := ebonywood.InstanceID(name + "/" + fields.Text("name", ""))
		fields = fields.Named(fields.Subject() + "/" + fields.Text("name", ""))
		members := reading.readMembers(fields, id)
		fields.RejectUnknown()
		found.instances = append(found.instances, id)
		reading.instances = append(reading.instances, ebonywood.NewInstance(id, members))
	}
	if len(found.instances) == 0 {
		fields.Complain(0, "instances", "is empty", "list at least one instance")
	}
	fields.RejectUnknown()
	reading.groups[name] = found
}

func (reading *reading) readMembers(fields yamlobject.Object, id ebonywood.InstanceID) []ebonywood.Member {
	var members []ebonywood.Member
	for _, node := range fields.List("members") {
		entry := yamlobject.New(node, fields.Subject(), reading.fault)
		name := entry.Text("name", "")
		entry = entry.Named(entry.Subject() + "/" + name)
		address := entry.Address("address")
		slots := entry.Number("slots", 3, 1)
		connections := entry.Number("connections", 20, 1)
		if connections < slots {
			entry.Complain(node.Line, "connections", fmt.Sprintf("%d is less than the %d slots", connections, slots),
				"allow at least one connection for each slot")
		}
		if first, taken := reading.addresses[address]; taken && address != "" {
			entry.Complain(node.Line, "address", "is taken by "+first, "give each member its own address")
		}
		reading.addresses[address] = entry.Subject()
		members = append(members, ebonywood.NewMember(ebonywood.MemberID(string(id)+"/"+name), entry.Text("zone", ""),
			address, slots, connections, entry.Flag("leaving")))
		entry.RejectUnknown()
	}
	if len(members)%2 == 0 {
		fields.Complain(0, "members", fmt.Sprintf("has %d entries", len(members)),
			"list an odd number, so that a majority survives the loss of one less than half")
	}
	return members
}

func (reading *reading) readPolicy(fields yamlobject.Object, name string) {
	stale := ebonywood.StalePrimary
	switch choice := fields.Text("whenStale", "primary"); choice {
	case "primary":
	case "wait":
		stale = ebonywood.StaleWait
	case "refuse":
		stale = ebonywood.StaleRefuse
	default:
		fields.Complain(0, "whenStale", fmt.Sprintf("%q is unknown", choice), "use primary, wait or refuse")
	}
	reading.policies[name] = ebonywood.NewReadPolicy(name, fields.Span("maxAge", 0), stale)
	fields.RejectUnknown()
}

func (reading *reading) checkAll() {
	matches := map[string]string{}
	for _, pending := range reading.pending {
		reading.readRoute(pending.object, matches)
	}
}

func (reading *reading) readRoute(fields yamlobject.Object, matches map[string]string) {
	name := fields.Text("name", "")
	user, database := fields.Text("user", ""), fields.Text("database", "")
	if database == "" {
		fields.Complain(0, "database", "is missing", "name the database that callers start up with")
	}
	if first, taken := matches[user+"@"+database]; taken {
		fields.Complain(0, "user", "and database are matched by "+first+" already", "make one of them differ")
	}
	matches[user+"@"+database] = fields.Subject()
	found, known := reading.groups[fields.Text("group", "")]
	if !known {
		fields.Complain(fields.Line("group"), "group", fmt.Sprintf("%q is not in the set", fields.Text("group", "")),
			"publish the databaseGroup with the route")
		found = &group{}
	}
	policy, known := reading.policies[fields.Text("readPolicy", "")]
	if !known {
		fields.Complain(fields.Line("readPolicy"), "readPolicy",
			fmt.Sprintf("%q is not in the set", fields.Text("readPolicy", "")), "publish the readPolicy with the route")
		policy = &ebonywood.ReadPolicy{}
	}
	deadline := fields.Span("deadline", 10_000)
	if policy.StaleAction() == ebonywood.StaleWait && deadline == 0 {
		fields.Complain(fields.Line("deadline"), "deadline", "is 0 while the policy waits", "allow some time")
	}
	objective := reading.readObjective(fields, deadline)
	reading.routes = append(reading.routes, ebonywood.NewRoute(name, user, database, found.instances, policy, deadline,
		fields.Number("weight", 1, 1), fields.Flag("paid"), fields.Flag("repeatable"), objective))
	fields.RejectUnknown()
}

func (reading *reading) readObjective(fields yamlobject.Object, deadline ebonywood.Millis) ebonywood.Objective {
	node := fields.Child("objective")
	if node == nil {
		return ebonywood.Objective{}
	}
	entry := yamlobject.New(node, fields.Subject(), reading.fault)
	share := entry.Share("share")
	latency := entry.Span("latency", deadline)
	if latency > deadline {
		entry.Complain(node.Line, "objective.latency", "is beyond the route's deadline", "lower it or raise the deadline")
	}
	entry.RejectUnknown()
	return ebonywood.NewObjective(share, latency)
}
