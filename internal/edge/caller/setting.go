package caller

import (
	"fmt"
	"strings"

	"github.com/ebonywood/ebonywood"
)

// setupSize bounds what one session may set.
const maxSettingsSize = 4096

// isSetting reports whether a statement sets something that outlives its
// transaction.
func isSetting(sql string) bool {
	word, rest := firstWord(skipComments(sql))
	switch strings.ToUpper(word) {
	case "RESET", "DISCARD":
		return true
	case "SET":
		second, _ := firstWord(strings.TrimLeft(rest, " \t\r\n"))
		second = strings.ToUpper(second)
		return second != "LOCAL" && second != "TRANSACTION" && second != "CONSTRAINTS"
	default:
		return false
	}
}

// bound words begin statements whose effect stays on one connection. Sessions
// move between connections, so these are refused rather than lost or leaked.
var connectionBound = map[string]string{
	"LISTEN":   "poll a table, or connect to a member directly",
	"UNLISTEN": "poll a table, or connect to a member directly",
	"PREPARE":  "prepare by the client's protocol, which works through the proxy",
	"EXECUTE":  "prepare by the client's protocol, which works through the proxy",
	"LOAD":     "load the library in the server's configuration",
}

// refuseSessionState refuses what can't be kept for a session.
func (caller *callerSession) checkSessionState(request *callerRequest) *ebonywood.Fault {
	if request.setting != "" && caller.lease != nil {
		return ebonywood.NewFault(ebonywood.KindBadInput, "a session setting inside a transaction can't be kept",
			"use SET LOCAL, or SET before BEGIN")
	}
	if len(caller.settings)+len(request.setting) > maxSettingsSize {
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("the session has set more than %d bytes", maxSettingsSize),
			"use RESET ALL, or set defaults for the database user")
	}
	if remedy, found := connectionBound[request.keyword]; found {
		return ebonywood.NewFault(ebonywood.KindBadInput, request.keyword+" needs a connection of its own", remedy)
	}
	return nil
}

// keepSetting remembers a setting that a target accepted.
func (caller *callerSession) recordSetting(sql string) {
	word, rest := firstWord(skipComments(sql))
	if strings.EqualFold(word, "DISCARD") || strings.EqualFold(strings.Trim(rest, " \t\r\n;"), "ALL") {
		caller.settings = ""
		return
	}
	caller.settings += strings.TrimRight(sql, " \t\r\n;") + ";"
}
