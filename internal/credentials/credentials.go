// Package credentials holds what is needed to authenticate callers: SCRAM
// verifiers in the form in which PostgreSQL stores them. The proxy never learns a
// password, and the file can be taken from pg_authid.
package credentials

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"

	"github.com/ebonywood/ebonywood"
)

const (
	prefix = "SCRAM-SHA-256$"
	// leastIterations is what RFC 7677 asks for.
	leastIterations = 4096
)

// Credentials are the verifiers of all callers. The zero value knows nobody.
type Credentials struct {
	byUser map[string]scram.StoredCredentials
}

// Read reads a file with a line "user:SCRAM-SHA-256$iterations:salt$stored:server"
// for each caller.
func Read(path string) (*Credentials, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, err.Error(), "set callersFile to a readable file")
	}
	return Parse(path, text)
}

// Parse checks a text; path names it in faults, which never show a verifier.
func Parse(path string, text []byte) (*Credentials, error) {
	credentials := &Credentials{byUser: map[string]scram.StoredCredentials{}}
	var faults []string
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		user, verifier, _ := strings.Cut(line, ":")
		stored, problem := parseVerifier(verifier)
		if problem != "" {
			faults = append(faults, fmt.Sprintf("%s:%d: %s: %s", path, number, user, problem))
		}
		credentials.byUser[user] = stored
	}
	if len(faults) > 0 {
		return nil, ebonywood.NewFault(ebonywood.KindBadInput, strings.Join(faults, "\n"),
			"copy the verifiers from rolpassword in pg_authid")
	}
	return credentials, nil
}

func parseVerifier(text string) (stored scram.StoredCredentials, problem string) {
	rest, found := strings.CutPrefix(text, prefix)
	parts := strings.FieldsFunc(rest, func(letter rune) bool { return letter == ':' || letter == '$' })
	if !found || len(parts) != 4 {
		return stored, "is no SCRAM-SHA-256 verifier"
	}
	iterations, err := strconv.Atoi(parts[0])
	if err != nil || iterations < leastIterations {
		return stored, fmt.Sprintf("has fewer than %d iterations", leastIterations)
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

// Begin starts the server's side of an exchange with a caller. The user is that
// of the start-up message; the one inside the exchange is ignored, as PostgreSQL
// does.
func (credentials *Credentials) Begin(user string) (*scram.ServerConversation, error) {
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
