// Package workspacecheck checks the workspaces of an object set, whichever source they were
// read from. It knows keys by their digests only, so no message can contain one.
package workspacecheck

import (
	"fmt"

	"github.com/ebonywood/ebonywood"
)

// Field is the part of a workspace that a fault is about.
type Field uint8

// The fields of a workspace.
const (
	FieldName Field = iota
	FieldKeys
	FieldUsers
	FieldPriority
	FieldRate
	FieldBurst
)

// String returns the field's name in object files.
func (field Field) String() string {
	return [...]string{"name", "keys", "users", "priority", "rate", "burst"}[field]
}

// Fault is a fault of one workspace.
type Fault struct {
	index   int
	field   Field
	entry   int
	warning bool
	message string
	remedy  string
}

// Index returns the index of the workspace in the checked list.
func (fault Fault) Index() int { return fault.index }

// Field returns the field that the fault is about.
func (fault Fault) Field() Field { return fault.field }

// Entry returns the index of the key or user in its list; 0 for other fields.
func (fault Fault) Entry() int { return fault.entry }

// IsWarning reports whether the workspaces can be used nevertheless.
func (fault Fault) IsWarning() bool { return fault.warning }

// Message states what is wrong with the field, without the field's name.
func (fault Fault) Message() string { return fault.message }

// Remedy states what to change.
func (fault Fault) Remedy() string { return fault.remedy }

// checker holds the names, keys and users seen so far with their workspaces.
type checker struct {
	faults []Fault
	names  map[string]bool
	keys   map[ebonywood.KeyDigest]int
	users  map[string]int
}

// Check returns the faults of a list of workspaces in the order of the list. Names, keys and
// users must be unique, and numbers must not be negative. That an entry is listed twice in the
// same workspace, or that a burst has no rate, is a warning.
func Check(workspaces []*ebonywood.Workspace) []Fault {
	checker := &checker{names: map[string]bool{}, keys: map[ebonywood.KeyDigest]int{}, users: map[string]int{}}
	for i, workspace := range workspaces {
		checker.checkName(i, workspace)
		checker.checkKeys(i, workspaces)
		checker.checkUsers(i, workspaces)
		checker.checkNumbers(i, workspace)
	}
	return checker.faults
}

func (checker *checker) add(fault Fault) { checker.faults = append(checker.faults, fault) }

func (checker *checker) checkName(index int, workspace *ebonywood.Workspace) {
	name := workspace.Name()
	if name == "" {
		checker.add(Fault{index: index, field: FieldName, message: "is missing", remedy: "give the workspace a name"})
		return
	}
	if checker.names[name] {
		checker.add(Fault{index: index, field: FieldName, message: fmt.Sprintf("%q is used by another workspace", name), remedy: "choose another name"})
	}
	checker.names[name] = true
}

func (checker *checker) checkKeys(index int, workspaces []*ebonywood.Workspace) {
	for entry, key := range workspaces[index].Keys() {
		if key.IsZero() {
			checker.add(Fault{index: index, field: FieldKeys, entry: entry, message: "has an empty key", remedy: "remove it or write a key"})
			continue
		}
		holder, found := checker.keys[key]
		checker.keys[key] = index
		checker.checkHolder(index, FieldKeys, entry, holder, found, workspaces)
	}
}

func (checker *checker) checkUsers(index int, workspaces []*ebonywood.Workspace) {
	for entry, user := range workspaces[index].Users() {
		if user == "" {
			checker.add(Fault{index: index, field: FieldUsers, entry: entry, message: "has an empty user", remedy: "remove it or name a user"})
			continue
		}
		holder, found := checker.users[user]
		checker.users[user] = index
		checker.checkHolder(index, FieldUsers, entry, holder, found, workspaces)
	}
}

// checkHolder adds a fault if the key or user was listed before, by the workspace holder.
func (checker *checker) checkHolder(index int, field Field, entry, holder int, found bool, workspaces []*ebonywood.Workspace) {
	fault := Fault{index: index, field: field, entry: entry, remedy: "list it once"}
	switch {
	case !found:
		return
	case holder == index:
		fault.warning, fault.message = true, "has an entry twice"
	default:
		fault.message = fmt.Sprintf("has an entry that workspace %q has, too", workspaces[holder].Name())
		fault.remedy = "leave it to one of the workspaces"
	}
	if field == FieldUsers {
		fault.message += fmt.Sprintf(": %q", workspaces[index].Users()[entry])
	}
	checker.add(fault)
}

func (checker *checker) checkNumbers(index int, workspace *ebonywood.Workspace) {
	for _, number := range []struct {
		field Field
		value float64
	}{
		{FieldPriority, float64(workspace.Priority())}, {FieldRate, workspace.Rate()}, {FieldBurst, workspace.Burst()},
	} {
		if number.value < 0 {
			checker.add(Fault{index: index, field: number.field, message: fmt.Sprintf("%g is negative", number.value), remedy: "write 0 or more"})
		}
	}
	if workspace.Rate() == 0 && workspace.Burst() > 0 {
		checker.add(Fault{
			index: index, field: FieldBurst, warning: true, message: fmt.Sprintf("%g has no effect, since there is no rate", workspace.Burst()),
			remedy: "set a rate, or remove the burst: without a rate the workspace has no limit",
		})
	}
}
