// Package credentials authenticates callers by SCRAM verifiers in the format of
// PostgreSQL. The proxy never receives a password, and the verifiers can be copied
// from pg_authid.
package credentials

import (
	"encoding/base64"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"

	"github.com/ebonywood/ebonywood"
)

const (
	verifierPrefix = "SCRAM-SHA-256$"
	// minIterations is the minimum iteration count of RFC 7677.
	minIterations = 4096
	// maxLineSize is the maximum length of a caller's line, in bytes.
	maxLineSize = 4 << 10
)

// Credentials holds the SCRAM verifiers of all callers by user name. The zero value
// accepts no user.
type Credentials struct {
	byUser map[string]scram.StoredCredentials
}

// Read reads a file with a line "user:SCRAM-SHA-256$iterations:salt$stored:server"
// for each caller. Empty lines and lines that start with # are ignored. The error is a
// fault of KindBadInput.
func Read(path string) (*Credentials, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "set callersFile to a readable file")
	}
	return Parse(path, text)
}

// Parse reads the text of such a file; path names it in faults, which never contain a
// verifier. The error is a fault of KindBadInput whose message has one line for each
// fault.
func Parse(path string, text []byte) (*Credentials, error) {
	credentials := &Credentials{byUser: map[string]scram.StoredCredentials{}}
	var faults []string
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if len(line) > maxLineSize {
			faults = append(faults, fmt.Sprintf("%s:%d: the line has more than %d bytes", path, i+1, maxLineSize))
			continue
		}
		user, verifier, _ := strings.Cut(line, ":")
		stored, problem := parseVerifier(verifier)
		if problem != "" {
			faults = append(faults, fmt.Sprintf("%s:%d: %s: %s", path, i+1, user, problem))
		}
		credentials.byUser[user] = stored
	}
	if len(faults) > 0 {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, strings.Join(faults, "\n"),
			"copy the verifiers from rolpassword in pg_authid")
	}
	return credentials, nil
}

// parseVerifier parses a verifier without the user name. problem is empty on success.
func parseVerifier(text string) (stored scram.StoredCredentials, problem string) {
	rest, found := strings.CutPrefix(text, verifierPrefix)
	parts := strings.FieldsFunc(rest, func(char rune) bool { return char == ':' || char == '$' })
	if !found || len(parts) != 4 {
		return stored, "is not a SCRAM-SHA-256 verifier"
	}
	iterations, err := strconv.Atoi(parts[0])
	if err != nil || iterations < minIterations {
		return stored, fmt.Sprintf("has fewer than %d iterations", minIterations)
	}
	salt, saltErr := base64.StdEncoding.DecodeString(parts[1])
	storedKey, storedErr := base64.StdEncoding.DecodeString(parts[2])
	serverKey, serverErr := base64.StdEncoding.DecodeString(parts[3])
	if saltErr != nil || storedErr != nil || serverErr != nil {
		return stored, "has a part that is not base64"
	}
	stored.Salt, stored.Iters = string(salt), iterations
	stored.StoredKey, stored.ServerKey = storedKey, serverKey
	return stored, ""
}

// NewConversation starts the server side of a SCRAM exchange with a caller. user
// comes from the start-up message; the user name inside the exchange is ignored, as
// PostgreSQL does. An unknown user makes the exchange fail, not NewConversation.
func (credentials *Credentials) NewConversation(user string) (*scram.ServerConversation, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		stored, found := credentials.byUser[user]
		if !found {
			return stored, fmt.Errorf("unknown user")
		}
		return stored, nil
	})
	if err != nil {
		return nil, err
	}
	return server.NewConversation(), nil
}
