package configcheck

import "github.com/ebonywood/ebonywood"

// Severity says what a finding means for the proxies.
type Severity uint8

// The severities.
const (
	// SeverityError is a fault because of which proxies refuse the set.
	SeverityError Severity = iota
	// SeverityWarning is a contradiction in a set that proxies accept.
	SeverityWarning
)

// String returns the name used in output.
func (severity Severity) String() string {
	if severity == SeverityError {
		return "error"
	}
	return "warning"
}

// Finding is a fault or a contradiction in an object set or its source.
type Finding struct {
	severity Severity
	path     string
	message  string
	remedy   string
}

// NewFinding returns a finding. path is the place in the source, or the object that it is about.
func NewFinding(severity Severity, path, message, remedy string) Finding {
	return Finding{severity: severity, path: path, message: message, remedy: remedy}
}

// Severity returns what the finding means for the proxies.
func (finding Finding) Severity() Severity { return finding.severity }

// Path returns the place in the source, or the object that the finding is about.
func (finding Finding) Path() string { return finding.path }

// Message states what was found.
func (finding Finding) Message() string { return finding.message }

// Remedy states what to change.
func (finding Finding) Remedy() string { return finding.remedy }

// Document is an object set as it was read from a source.
type Document struct {
	set       *ebonywood.ObjectSet
	findings  []Finding
	locations map[string]string
}

// NewDocument returns a document. The set is nil if the findings contain an error. locations
// holds the places of the objects in the source, by their paths in findings.
func NewDocument(set *ebonywood.ObjectSet, findings []Finding, locations map[string]string) *Document {
	return &Document{set: set, findings: findings, locations: locations}
}

// Set returns the set; nil if the source has an error.
func (document *Document) Set() *ebonywood.ObjectSet { return document.set }

// Findings returns the findings of the source, or those of the set if the source has none. slots
// is the number of slots of all members, 0 to use those that the set lists.
func (document *Document) Findings(slots int) []Finding {
	if document.set == nil {
		return document.findings
	}
	if slots == 0 {
		slots = listedSlots(document.set)
	}
	findings := append([]Finding(nil), document.findings...)
	for _, finding := range CheckWithSlots(document.set, slots) {
		if location, found := document.locations[finding.path]; found {
			finding.path = location + ": " + finding.path
		}
		findings = append(findings, finding)
	}
	return findings
}
