// Package objectfile reads object sets from YAML and checks each set as a whole,
// including the references between its objects.
//
// All faults are reported together, each with its file, line, object and field and a
// remedy, so that an operator under time pressure need not find them one by one. The
// code walks YAML nodes instead of decoding into structs, because decoded references
// between objects have no line numbers.
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
	"github.com/ebonywood/ebonywood/internal/configcheck"
	"github.com/ebonywood/ebonywood/internal/workspacecheck"
	"github.com/ebonywood/ebonywood/internal/yamlobject"
)

// Kinds of objects, the values of the field kind.
const (
	kindGroup     = "databaseGroup"
	kindPolicy    = "readPolicy"
	kindRoute     = "route"
	kindWorkspace = "workspace"
)

// fileMarker starts the comment line that names the file in a joined text.
const fileMarker = "# file: "

// Join concatenates the texts of several files as YAML documents. Comment lines with
// the file names allow faults to name the file. names and texts have the same length.
func Join(names []string, texts [][]byte) []byte {
	var joined bytes.Buffer
	for i, text := range texts {
		joined.WriteString("---\n" + fileMarker + names[i] + "\n")
		joined.Write(bytes.TrimSpace(text))
		joined.WriteString("\n")
	}
	return joined.Bytes()
}

// Hash returns the SHA-256 of a content in hexadecimal.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Parse reads and checks a joined text. The error is a fault of KindBadInput whose
// message has one line for each fault of the set.
func Parse(generation uint64, content []byte) (*ebonywood.ObjectSet, error) {
	document := Read(generation, content)
	if document.Set() != nil {
		return document.Set(), nil
	}
	var faults []string
	for _, finding := range document.Findings(0) {
		faults = append(faults, fmt.Sprintf("%s: %s; %s", finding.Path(), finding.Message(), finding.Remedy()))
	}
	return nil, ebonywood.NewFault(ebonywood.KindBadInput, strings.Join(faults, "\n"), "fix these and check the set again")
}

// Read reads and checks a joined text. Each fault is a finding, and the document has no set if
// there is one.
func Read(generation uint64, content []byte) *configcheck.Document {
	parser := newParser(content)
	parser.readDocuments(content)
	parser.resolveRoutes()
	parser.checkWorkspaces()
	if len(parser.faults) > 0 {
		return configcheck.NewDocument(nil, parser.faults, nil)
	}
	set := ebonywood.NewObjectSet(generation, Hash(content), content, parser.instances, parser.routes)
	if len(parser.workspaces) > 0 {
		set = set.WithWorkspaces(parser.workspaces)
	}
	return configcheck.NewDocument(set, nil, parser.locations)
}

// parser holds the objects and faults found so far. Routes are pending until all
// objects are read, because they refer to groups and policies. locations maps subjects
// of objects to their file and line, addresses maps addresses to subjects of members.
type parser struct {
	files         []fileStart
	faults        []configcheck.Finding
	groups        map[string]*parsedGroup
	policies      map[string]*ebonywood.ReadPolicy
	pendingRoutes []pendingRoute
	locations     map[string]string
	addresses     map[string]string
	instances     []ebonywood.Instance
	routes        []*ebonywood.Route
	workspaces    []*ebonywood.Workspace
	// workspaceFields holds the mapping of each workspace.
	workspaceFields []yamlobject.Object
}

// fileStart is the line of the joined text at which a file's marker is.
type fileStart struct {
	line int
	name string
}

type parsedGroup struct {
	instances []ebonywood.InstanceID
}

type pendingRoute struct {
	object yamlobject.Object
}

// newParser returns a parser that has indexed the file markers of the content.
func newParser(content []byte) *parser {
	result := &parser{
		groups: map[string]*parsedGroup{}, policies: map[string]*ebonywood.ReadPolicy{},
		locations: map[string]string{}, addresses: map[string]string{},
	}
	for i, line := range strings.Split(string(content), "\n") {
		if name, found := strings.CutPrefix(line, fileMarker); found {
			result.files = append(result.files, fileStart{line: i + 1, name: name})
		}
	}
	return result
}

// file returns the file that a line of the joined text is from.
func (parser *parser) file(line int) fileStart {
	file := fileStart{name: "set"}
	for _, start := range parser.files {
		if start.line <= line {
			file = start
		}
	}
	return file
}

// location converts a line of the joined text to a file and a line in it.
func (parser *parser) location(line int) string {
	file := parser.file(line)
	return fmt.Sprintf("%s:%d", file.name, line-file.line)
}

// reportFault adds a fault at a line of the joined text.
func (parser *parser) reportFault(line int, subject, message, remedy string) {
	parser.faults = append(parser.faults, configcheck.NewFinding(configcheck.SeverityError, parser.location(line), subject+": "+message, remedy))
}

// yamlLine matches the line number in an error message of the YAML library. Some
// messages have none, such as that about a control character.
var yamlLine = regexp.MustCompile(`^yaml: line (\d+): `)

// reportSyntaxFault adds a fault for text that is not YAML, with its file and, if the
// library states it, its line. firstLine is the line of the joined text at which the
// library started.
func (parser *parser) reportSyntaxFault(err error, firstLine int) {
	message, where := err.Error(), parser.file(firstLine).name
	if match := yamlLine.FindStringSubmatch(message); match != nil {
		line, _ := strconv.Atoi(match[1])
		message, where = strings.TrimPrefix(message, match[0]), parser.location(firstLine-1+line)
	}
	parser.faults = append(parser.faults, configcheck.NewFinding(configcheck.SeverityError, where, message, "fix the YAML"))
}

// readDocuments reads the object of each YAML document of each file, so that every
// syntax fault has its file. Content without file markers is read as a whole.
func (parser *parser) readDocuments(content []byte) {
	lines := bytes.SplitAfter(content, []byte("\n"))
	firstLine := 1
	for _, next := range parser.files {
		parser.readFile(bytes.Join(lines[firstLine-1:next.line-1], nil), firstLine)
		firstLine = next.line
	}
	parser.readFile(bytes.Join(lines[firstLine-1:], nil), firstLine)
}

// readFile reads the documents of one file, up to its first syntax fault. firstLine is
// the line of the joined text at which the file starts.
func (parser *parser) readFile(text []byte, firstLine int) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	for {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			parser.reportSyntaxFault(err, firstLine)
			return
		}
		if len(document.Content) > 0 && document.Content[0].Kind == yaml.MappingNode {
			shiftLines(document.Content[0], firstLine-1)
			parser.readObject(document.Content[0])
		}
	}
}

// shiftLines adds a number of lines to the positions of a node and those below it.
func shiftLines(node *yaml.Node, lines int) {
	node.Line += lines
	for _, child := range node.Content {
		shiftLines(child, lines)
	}
}

// readObject reads a group, a policy or a workspace, or stores a route for resolveRoutes.
func (parser *parser) readObject(node *yaml.Node) {
	fields := yamlobject.New(node, "object", parser.reportFault)
	kind := fields.Text("kind", "")
	name := fields.Text("name", "")
	fields = fields.WithSubject(kind + "/" + name)
	if name == "" {
		fields.ReportFault(node.Line, "name", "is missing", "give the object a name")
	}
	if first, taken := parser.locations[fields.Subject()]; taken {
		fields.ReportFault(node.Line, "name", "is used by the object at "+first, "choose another name")
	}
	parser.locations[fields.Subject()] = parser.location(node.Line)
	switch kind {
	case kindGroup:
		parser.readGroup(fields, name)
	case kindPolicy:
		parser.readPolicy(fields, name)
	case kindRoute:
		parser.pendingRoutes = append(parser.pendingRoutes, pendingRoute{fields})
	case kindWorkspace:
		parser.readWorkspace(fields, name)
	default:
		fields.ReportFault(node.Line, "kind", fmt.Sprintf("%q is unknown", kind), "use databaseGroup, readPolicy, route or workspace")
	}
}

// readGroup reads a database group with its instances and members.
func (parser *parser) readGroup(fields yamlobject.Object, name string) {
	group := &parsedGroup{}
	for _, instance := range fields.List("instances") {
		fields := yamlobject.New(instance, fields.Subject(), parser.reportFault)
		id := ebonywood.InstanceID(name + "/" + fields.Text("name", ""))
		fields = fields.WithSubject(fields.Subject() + "/" + fields.Text("name", ""))
		members := parser.readMembers(fields, id)
		fields.RejectUnknown()
		parser.locations[configcheck.InstancePath(id)] = parser.location(instance.Line)
		group.instances = append(group.instances, id)
		parser.instances = append(parser.instances, ebonywood.NewInstance(id, members))
	}
	if len(group.instances) == 0 {
		fields.ReportFault(0, "instances", "is empty", "list at least one instance")
	}
	fields.RejectUnknown()
	parser.groups[name] = group
}

// readMembers reads the members of one instance and checks that their number is odd
// and that each address is used once in the set.
func (parser *parser) readMembers(fields yamlobject.Object, id ebonywood.InstanceID) []ebonywood.Member {
	var members []ebonywood.Member
	for _, node := range fields.List("members") {
		entry := yamlobject.New(node, fields.Subject(), parser.reportFault)
		name := entry.Text("name", "")
		entry = entry.WithSubject(entry.Subject() + "/" + name)
		address := entry.Address("address")
		slots := entry.Number("slots", 3, 1)
		connections := entry.Number("connections", 20, 1)
		if connections < slots {
			entry.ReportFault(node.Line, "connections", fmt.Sprintf("%d is less than the %d slots", connections, slots),
				"allow at least one connection for each slot")
		}
		if first, taken := parser.addresses[address]; taken && address != "" {
			entry.ReportFault(node.Line, "address", "is used by "+first, "give each member its own address")
		}
		parser.addresses[address] = entry.Subject()
		members = append(members, ebonywood.NewMember(ebonywood.MemberID(string(id)+"/"+name), entry.Text("zone", ""),
			address, slots, connections, entry.Flag("leaving")))
		entry.RejectUnknown()
	}
	if len(members)%2 == 0 {
		fields.ReportFault(0, "members", fmt.Sprintf("has %d entries", len(members)),
			"list an odd number, so that a majority survives the loss of one less than half")
	}
	return members
}

// readPolicy reads a read policy.
func (parser *parser) readPolicy(fields yamlobject.Object, name string) {
	stale := ebonywood.StalePrimary
	switch choice := fields.Text("whenStale", "primary"); choice {
	case "primary":
	case "wait":
		stale = ebonywood.StaleWait
	case "refuse":
		stale = ebonywood.StaleRefuse
	default:
		fields.ReportFault(0, "whenStale", fmt.Sprintf("%q is unknown", choice), "use primary, wait or refuse")
	}
	parser.policies[name] = ebonywood.NewReadPolicy(name, fields.Duration("maxAge", 0), stale)
	fields.RejectUnknown()
}

// readWorkspace reads a workspace, which checkWorkspaces checks.
func (parser *parser) readWorkspace(fields yamlobject.Object, name string) {
	users := fields.Texts("users")
	priority := fields.Integer("priority", 0)
	rate, burst := fields.Quantity("rate"), fields.Quantity("burst")
	fields.RejectUnknown()
	parser.workspaces = append(parser.workspaces, ebonywood.NewWorkspace(name, nil, users, priority).WithRate(rate, burst))
	parser.workspaceFields = append(parser.workspaceFields, fields)
}

// checkWorkspaces reports the faults and warnings of all workspaces. Missing and repeated names
// are reported by readObject.
func (parser *parser) checkWorkspaces() {
	for _, fault := range workspacecheck.Check(parser.workspaces) {
		if fault.Field() == workspacecheck.FieldName {
			continue
		}
		fields, name := parser.workspaceFields[fault.Index()], fault.Field().String()
		line := fields.Line(name)
		if node := fields.Child(name); node != nil && fault.Entry() < len(node.Content) {
			line = node.Content[fault.Entry()].Line
		}
		fields.ReportFault(line, name, fault.Message(), fault.Remedy())
	}
}

// resolveRoutes reads the pending routes after all groups and policies were read.
func (parser *parser) resolveRoutes() {
	subjects := map[string]string{}
	for _, pending := range parser.pendingRoutes {
		parser.readRoute(pending.object, subjects)
	}
}

// readRoute reads a route and resolves its group and policy. subjects holds the routes
// read so far by user and database, which must be unique.
func (parser *parser) readRoute(fields yamlobject.Object, subjects map[string]string) {
	name := fields.Text("name", "")
	user, database := fields.Text("user", ""), fields.Text("database", "")
	if database == "" {
		fields.ReportFault(0, "database", "is missing", "name the database in the callers' start-up message")
	}
	if first, taken := subjects[user+"@"+database]; taken {
		fields.ReportFault(0, "user", "and database are matched by "+first+" already", "change one of them")
	}
	subjects[user+"@"+database] = fields.Subject()
	group, found := parser.groups[fields.Text("group", "")]
	if !found {
		fields.ReportFault(fields.Line("group"), "group", fmt.Sprintf("%q is not in the set", fields.Text("group", "")),
			"publish the databaseGroup with the route")
		group = &parsedGroup{}
	}
	policy, found := parser.policies[fields.Text("readPolicy", "")]
	if !found {
		fields.ReportFault(fields.Line("readPolicy"), "readPolicy",
			fmt.Sprintf("%q is not in the set", fields.Text("readPolicy", "")), "publish the readPolicy with the route")
		policy = &ebonywood.ReadPolicy{}
	}
	deadline := fields.Duration("deadline", 10_000)
	if policy.StaleAction() == ebonywood.StaleWait && deadline == 0 {
		fields.ReportFault(fields.Line("deadline"), "deadline", "is 0 while the policy waits", "set a positive deadline")
	}
	objective := parser.readObjective(fields, deadline)
	route := ebonywood.NewRoute(name, user, database, group.instances, policy, deadline,
		fields.Number("weight", 1, 1), fields.Flag("paid"), fields.Flag("repeatable"), objective)
	route = route.WithPriority(fields.Number("priority", route.Priority(), 0)).WithPublic(fields.Flag("public"))
	parser.routes = append(parser.routes, route)
	fields.RejectUnknown()
}

// readObjective reads the service-level objective of a route; without the field it is
// the zero value.
func (parser *parser) readObjective(fields yamlobject.Object, deadline ebonywood.Millis) ebonywood.Objective {
	node := fields.Child("objective")
	if node == nil {
		return ebonywood.Objective{}
	}
	entry := yamlobject.New(node, fields.Subject(), parser.reportFault)
	share := entry.Share("share")
	latency := entry.Duration("latency", deadline)
	if latency > deadline {
		entry.ReportFault(node.Line, "objective.latency", "is beyond the route's deadline", "lower it or raise the deadline")
	}
	entry.RejectUnknown()
	return ebonywood.NewObjective(share, latency)
}
