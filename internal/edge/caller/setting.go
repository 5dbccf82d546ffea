package caller

import (
	"fmt"
	"strings"

	"github.com/ebonywood/ebonywood"
)

// maxSettingsSize bounds the text of one session's settings, in bytes.
const maxSettingsSize = 4096

// isSetting reports whether a statement changes a setting that outlives its
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

// connectionBound holds, by first word, the statements that only affect the connection
// they run on, each with a remedy. Sessions move between connections, so the effect
// would be lost or leak to other sessions; the statements are refused instead.
var connectionBound = map[string]string{
	"LISTEN":   "poll a table, or connect to a member directly",
	"UNLISTEN": "poll a table, or connect to a member directly",
	"PREPARE":  "use the client protocol's prepared statements, which work through the proxy",
	"EXECUTE":  "use the client protocol's prepared statements, which work through the proxy",
	"LOAD":     "load the library in the server's configuration",
}

// checkSessionState returns a fault if the request changes session state that the proxy
// can't maintain across target connections.
func (caller *callerSession) checkSessionState(request *callerRequest) *ebonywood.Fault {
	if request.setting != "" && caller.lease != nil {
		return ebonywood.NewFault(ebonywood.KindBadInput, "session settings can't be changed inside a transaction",
			"use SET LOCAL, or SET before BEGIN")
	}
	if len(caller.settings)+len(request.setting) > maxSettingsSize {
		return ebonywood.NewFault(ebonywood.KindBadInput, fmt.Sprintf("the session's settings exceed %d bytes", maxSettingsSize),
			"use RESET ALL, or set defaults for the database user")
	}
	if remedy, found := connectionBound[request.keyword]; found {
		return ebonywood.NewFault(ebonywood.KindBadInput, request.keyword+" needs a connection of its own", remedy)
	}
	return nil
}

// recordSetting adds a setting that a target accepted to those of the session. RESET ALL
// and DISCARD clear them.
func (caller *callerSession) recordSetting(sql string) {
	word, rest := firstWord(skipComments(sql))
	if strings.EqualFold(word, "DISCARD") || strings.EqualFold(strings.Trim(rest, " \t\r\n;"), "ALL") {
		caller.settings = ""
		return
	}
	caller.settings += strings.TrimRight(sql, " \t\r\n;") + ";"
}
