// Package settingsfile reads what one proxy is told at its start.
package settingsfile

import (
	"fmt"
	"os"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/yamlobject"
)

// Defaults of the settings.
const (
	defaultStatusPeriod   ebonywood.Millis = 50
	defaultPrimarySilence ebonywood.Millis = 400
	defaultMaxCallers                      = 20_000
	// tickPeriod paces status rounds, probes and the steps of a change.
	tickPeriod ebonywood.Millis = 10
)

// Settings are checked settings. The zero value has no addresses, so it starts
// no edge.
type Settings struct {
	name              string
	incarnation       int64
	zone              string
	callerAddress     string
	peerAddress       string
	operatorAddress   string
	platformAddresses []string
	seeds             []string
	targetUser        string
	targetPassword    string
	callersFile       string
	callerTLS         ebonywood.TLSFiles
	peerTLS           ebonywood.TLSFiles
	statusPeriod      ebonywood.Millis
	primarySilence    ebonywood.Millis
	maxCallers        int
	drainLimit        ebonywood.Millis
}

var _ ebonywood.Settings = Settings{}

// Limits are the presets: the PostgreSQL path has settings of its own.
func (Settings) Limits() ebonywood.Limits { return ebonywood.Limits{} }

// Read reads and checks a file. The error's message has one line for each fault.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "name a readable settings file")
	}
	settings, err := Parse(path, text)
	settings.incarnation = time.Now().Unix()
	return settings, err
}

// Parse checks a text; path names it in faults.
func Parse(path string, text []byte) (Settings, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return Settings{}, ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("%s: %v", path, err), "mend the YAML")
	}
	if len(document.Content) == 0 || document.Content[0].Kind != yaml.MappingNode {
		return Settings{}, ebonywood.NewFault(ebonywood.KindBadInput, path+" has no fields", "write name: value lines")
	}
	var faults []string
	report := func(line int, subject, message, remedy string) {
		faults = append(faults, fmt.Sprintf("%s:%d: %s%s; %s", path, line, subject, message, remedy))
	}
	settings := readFields(yamlobject.New(document.Content[0], "", report))
	if len(faults) > 0 {
		return Settings{}, ebonywood.NewFault(ebonywood.KindBadInput, strings.Join(faults, "\n"), "mend these and start again")
	}
	return settings, nil
}

func readFields(fields yamlobject.Object) Settings {
	settings := Settings{
		name: fields.Text("name", ""), zone: fields.Text("zone", ""),
		callerAddress: fields.Address("callerAddress"), peerAddress: fields.OptionalAddress("peerAddress"),
		operatorAddress: fields.OptionalAddress("operatorAddress"),
		seeds:           fields.Texts("seeds"),
		callersFile:     fields.Text("callersFile", ""),
		statusPeriod:    fields.Span("statusPeriod", defaultStatusPeriod),
		primarySilence:  fields.Span("primarySilence", defaultPrimarySilence),
		maxCallers:      fields.Number("maxCallers", defaultMaxCallers, 1),
		drainLimit:      fields.Span("drainLimit", 0),
	}
	if settings.name == "" {
		fields.Complain(0, "name", "is missing", "give each proxy a name of its own")
	}
	if settings.zone == "" {
		fields.Complain(0, "zone", "is missing", "name the proxy's availability zone")
	}
	if settings.statusPeriod == 0 || settings.primarySilence < 4*settings.statusPeriod {
		fields.Complain(fields.Line("primarySilence"), "primarySilence", "is less than four status periods",
			"raise it, or lower statusPeriod")
	}
	readPlatform(fields, &settings)
	readTarget(fields, &settings)
	settings.callerTLS = readTLS(fields, "callerTLS")
	settings.peerTLS = readTLS(fields, "peerTLS")
	fields.RejectUnknown()
	return settings
}

func readPlatform(fields yamlobject.Object, settings *Settings) {
	platform, found := fields.Sub("platform")
	if !found {
		fields.Complain(0, "platform", "is missing", "state platform.addresses")
		return
	}
	settings.platformAddresses = platform.Texts("addresses")
	for _, address := range settings.platformAddresses {
		if !strings.HasPrefix(address, "http://") && !strings.HasPrefix(address, "https://") {
			platform.Complain(platform.Line("addresses"), "addresses", fmt.Sprintf("%q is no URL", address),
				"write it as http://10.0.0.2:2379")
		}
	}
	if len(settings.platformAddresses) == 0 {
		platform.Complain(0, "addresses", "is empty", "name the key-value service")
	}
	platform.RejectUnknown()
}

func readTarget(fields yamlobject.Object, settings *Settings) {
	settings.targetUser = "ebonywood"
	target, found := fields.Sub("target")
	if !found {
		return
	}
	settings.targetUser = target.Text("user", settings.targetUser)
	settings.targetPassword = readSecret(target, "passwordFile")
	target.RejectUnknown()
}

// readSecret takes a secret from a file of its own, so that settings can be
// shown and logged.
func readSecret(fields yamlobject.Object, field string) string {
	path := fields.Text(field, "")
	if path == "" {
		return ""
	}
	text, err := os.ReadFile(path)
	if err != nil {
		fields.Complain(fields.Line(field), field, err.Error(), "name a readable file that holds only the secret")
	}
	return strings.TrimSpace(string(text))
}

func readTLS(fields yamlobject.Object, field string) ebonywood.TLSFiles {
	entry, found := fields.Sub(field)
	if !found {
		return ebonywood.TLSFiles{}
	}
	files := ebonywood.NewTLSFiles(entry.Text("certificate", ""), entry.Text("key", ""), entry.Text("authority", ""))
	if files.Certificate() == "" || files.Key() == "" {
		entry.Complain(0, "", "needs a certificate and a key", "name both files, or leave "+field+" out")
	}
	entry.RejectUnknown()
	return files
}

// Name is the proxy's name, unique in the fleet.
func (settings Settings) Name() string { return settings.name }

// Incarnation is the time of the start in seconds; 0 if the settings were not
// read from a file.
func (settings Settings) Incarnation() int64 { return settings.incarnation }

// Zone is the proxy's availability zone.
func (settings Settings) Zone() string { return settings.zone }

// CallerAddress is where callers connect.
func (settings Settings) CallerAddress() string { return settings.callerAddress }

// PeerAddress is where other proxies connect.
func (settings Settings) PeerAddress() string { return settings.peerAddress }

// OperatorAddress serves health, metrics and reports over HTTP.
func (settings Settings) OperatorAddress() string { return settings.operatorAddress }

// PlatformAddresses are URLs of the platform's key-value service.
func (settings Settings) PlatformAddresses() []string { return settings.platformAddresses }

// Seeds are peer addresses of other proxies to begin with.
func (settings Settings) Seeds() []string { return settings.seeds }

// TargetUser is the database user for callers' statements.
func (settings Settings) TargetUser() string { return settings.targetUser }

// TargetPassword is the password of both database users.
func (settings Settings) TargetPassword() string { return settings.targetPassword }

// CallersFile names the file of callers' SCRAM verifiers; empty trusts the
// network.
func (settings Settings) CallersFile() string { return settings.callersFile }

// CallerTLS is the identity towards callers.
func (settings Settings) CallerTLS() ebonywood.TLSFiles { return settings.callerTLS }

// PeerTLS is the identity among proxies.
func (settings Settings) PeerTLS() ebonywood.TLSFiles { return settings.peerTLS }

// StatusPeriod is the time between two status rounds.
func (settings Settings) StatusPeriod() ebonywood.Millis { return settings.statusPeriod }

// PrimarySilence is how long a primary may be silent before it is replaced.
func (settings Settings) PrimarySilence() ebonywood.Millis { return settings.primarySilence }

// MaxCallers bounds the connected callers.
func (settings Settings) MaxCallers() int { return settings.maxCallers }

// DrainLimit bounds a graceful shutdown; 0 waits for every caller's transaction.
func (settings Settings) DrainLimit() ebonywood.Millis { return settings.drainLimit }

// TickPeriod is how often decisions look at the time.
func (settings Settings) TickPeriod() ebonywood.Millis { return tickPeriod }
