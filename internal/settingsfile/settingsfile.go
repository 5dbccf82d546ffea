// Package settingsfile reads the settings of one proxy from a YAML file and checks
// them. The settings do not change while the proxy runs.
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
	// tickPeriod is how often decisions receive a tick, which triggers status
	// rounds, probes and the steps of a change of primary.
	tickPeriod ebonywood.Millis = 10
)

// Settings are the checked settings of one proxy. The zero value has no addresses,
// so no edge listens.
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
	memoryMB          int64
}

var _ ebonywood.Settings = Settings{}

// Limits returns the defaults, since the PostgreSQL path is configured by the other
// settings only.
func (Settings) Limits() ebonywood.Limits { return ebonywood.Limits{} }

// Read reads and checks a settings file. The incarnation is the current time. The
// error is a fault of KindBadInput whose message has one line for each fault of the
// file.
func Read(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "name a readable settings file")
	}
	settings, err := Parse(path, text)
	settings.incarnation = time.Now().Unix()
	return settings, err
}

// Parse checks the text of a settings file; path names it in faults.
func Parse(path string, text []byte) (Settings, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(text, &document); err != nil {
		return Settings{}, ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("%s: %v", path, err), "fix the YAML")
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
		return Settings{}, ebonywood.NewFault(ebonywood.KindBadInput, strings.Join(faults, "\n"), "fix these and start again")
	}
	return settings, nil
}

// readFields reads all settings and reports every fault.
func readFields(fields yamlobject.Object) Settings {
	settings := Settings{
		name: fields.Text("name", ""), zone: fields.Text("zone", ""),
		callerAddress: fields.Address("callerAddress"), peerAddress: fields.OptionalAddress("peerAddress"),
		operatorAddress: fields.OptionalAddress("operatorAddress"),
		seeds:           fields.Texts("seeds"),
		callersFile:     fields.Text("callersFile", ""),
		statusPeriod:    fields.Duration("statusPeriod", defaultStatusPeriod),
		primarySilence:  fields.Duration("primarySilence", defaultPrimarySilence),
		maxCallers:      fields.Number("maxCallers", defaultMaxCallers, 1),
		drainLimit:      fields.Duration("drainLimit", 0),
		memoryMB:        int64(fields.Number("memoryLimit", 0, 0)),
	}
	if settings.name == "" {
		fields.ReportFault(0, "name", "is missing", "give each proxy a unique name")
	}
	if settings.zone == "" {
		fields.ReportFault(0, "zone", "is missing", "name the proxy's availability zone")
	}
	if settings.statusPeriod == 0 || settings.primarySilence < 4*settings.statusPeriod {
		fields.ReportFault(fields.Line("primarySilence"), "primarySilence", "is less than four status periods",
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
	platform, found := fields.Mapping("platform")
	if !found {
		fields.ReportFault(0, "platform", "is missing", "state platform.addresses")
		return
	}
	settings.platformAddresses = platform.Texts("addresses")
	for _, address := range settings.platformAddresses {
		if !strings.HasPrefix(address, "http://") && !strings.HasPrefix(address, "https://") {
			platform.ReportFault(platform.Line("addresses"), "addresses", fmt.Sprintf("%q is not a URL", address),
				"write it as http://10.0.0.2:2379")
		}
	}
	if len(settings.platformAddresses) == 0 {
		platform.ReportFault(0, "addresses", "is empty", "name the key-value service")
	}
	platform.RejectUnknown()
}

func readTarget(fields yamlobject.Object, settings *Settings) {
	settings.targetUser = "ebonywood"
	target, found := fields.Mapping("target")
	if !found {
		return
	}
	settings.targetUser = target.Text("user", settings.targetUser)
	settings.targetPassword = readSecret(target, "passwordFile")
	target.RejectUnknown()
}

// readSecret reads a secret from the file that the field names. The settings file
// holds only the path, so that it can be shown and logged.
func readSecret(fields yamlobject.Object, field string) string {
	path := fields.Text(field, "")
	if path == "" {
		return ""
	}
	text, err := os.ReadFile(path)
	if err != nil {
		fields.ReportFault(fields.Line(field), field, err.Error(), "name a readable file that holds only the secret")
	}
	return strings.TrimSpace(string(text))
}

func readTLS(fields yamlobject.Object, field string) ebonywood.TLSFiles {
	entry, found := fields.Mapping(field)
	if !found {
		return ebonywood.TLSFiles{}
	}
	files := ebonywood.NewTLSFiles(entry.Text("certificate", ""), entry.Text("key", ""), entry.Text("authority", ""))
	if files.Certificate() == "" || files.Key() == "" {
		entry.ReportFault(0, "", "needs a certificate and a key", "name both files, or leave "+field+" out")
	}
	entry.RejectUnknown()
	return files
}

// Name returns the proxy's name, unique in the fleet.
func (settings Settings) Name() string { return settings.name }

// Incarnation returns the time of the start in seconds since the epoch; 0 if the
// settings were not read from a file.
func (settings Settings) Incarnation() int64 { return settings.incarnation }

// Zone returns the proxy's availability zone.
func (settings Settings) Zone() string { return settings.zone }

// CallerAddress returns the address that callers connect to.
func (settings Settings) CallerAddress() string { return settings.callerAddress }

// PeerAddress returns the address that other proxies connect to; it may be empty.
func (settings Settings) PeerAddress() string { return settings.peerAddress }

// OperatorAddress returns the address that serves health, metrics and reports over
// HTTP; it may be empty.
func (settings Settings) OperatorAddress() string { return settings.operatorAddress }

// PlatformAddresses returns the URLs of the platform's key-value service.
func (settings Settings) PlatformAddresses() []string { return settings.platformAddresses }

// Seeds returns the peer addresses that the proxy contacts first to join the fleet.
func (settings Settings) Seeds() []string { return settings.seeds }

// TargetUser returns the database user for callers' statements.
func (settings Settings) TargetUser() string { return settings.targetUser }

// TargetPassword returns the password of both database users: TargetUser and the one
// that calls the platform's functions.
func (settings Settings) TargetPassword() string { return settings.targetPassword }

// CallersFile returns the path of the file with callers' SCRAM verifiers. If it is
// empty, callers are not authenticated.
func (settings Settings) CallersFile() string { return settings.callersFile }

// CallerTLS returns the files of the TLS identity that callers see.
func (settings Settings) CallerTLS() ebonywood.TLSFiles { return settings.callerTLS }

// PeerTLS returns the files of the TLS identity for connections between proxies.
func (settings Settings) PeerTLS() ebonywood.TLSFiles { return settings.peerTLS }

// StatusPeriod returns the time between two status rounds.
func (settings Settings) StatusPeriod() ebonywood.Millis { return settings.statusPeriod }

// PrimarySilenceTimeout returns how long a primary may fail to reply before it is
// replaced.
func (settings Settings) PrimarySilenceTimeout() ebonywood.Millis { return settings.primarySilence }

// MaxCallers returns the maximum number of connected callers.
func (settings Settings) MaxCallers() int { return settings.maxCallers }

// MemoryMB returns the memory limit of the process in MB; 0 if the file has none.
func (settings Settings) MemoryMB() int64 { return settings.memoryMB }

// WithMemoryMB returns the settings with another memory limit.
func (settings Settings) WithMemoryMB(memoryMB int64) Settings {
	settings.memoryMB = memoryMB
	return settings
}

// DrainLimit returns the maximum duration of a graceful shutdown; 0 waits until every
// transaction has ended.
func (settings Settings) DrainLimit() ebonywood.Millis { return settings.drainLimit }

// TickPeriod returns how often decisions receive a tick.
func (settings Settings) TickPeriod() ebonywood.Millis { return tickPeriod }
