package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// secret is part of every key in these tests.
const secret = "zq7"

// configurations of the platform, with one version each.
const (
	versionOne = `{"version":1,"routes":[{"name":"shop","database":"d","type":"primary","timeout-ms":1000,"target-latency-ms":200,"backend":"db"}],
"backends":[{"name":"db","max-connections":20}],"tenants":[{"name":"red","api-keys":["zq7-1","zq7-2"],"rate-per-s":50,"burst":10}]}`
	versionTwo = `{"version":2,"routes":[{"name":"shop","database":"d","type":"primary","timeout-ms":100,"target-latency-ms":200,"backend":"db"}],
"backends":[{"name":"db","max-connections":20}],"tenants":[{"name":"red","api-keys":["zq7-1"],"rate-per-s":50,"burst":10}]}`
)

const objects = `kind: databaseGroup
name: orders
instances:
- name: a
  members:
  - {name: m0, zone: a, address: "127.0.0.1:5501"}
---
kind: readPolicy
name: recent
maxAge: 2s
---
kind: route
name: shop
database: shop
group: orders
readPolicy: recent
---
kind: workspace
name: storefront
users: [web]
`

// writeFile writes a file in a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// runCommand runs the command line and returns its output and exit code. No output may contain
// a key.
func runCommand(t *testing.T, arguments ...string) (output string, code int) {
	t.Helper()
	var buffer bytes.Buffer
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(&buffer)
	root.SetErr(&buffer)
	if err := root.ExecuteContext(t.Context()); err != nil {
		code = exitCode(err)
		require.NotContains(t, err.Error(), secret)
	}
	require.NotContains(t, buffer.String(), secret)
	return buffer.String(), code
}

// TestCheckConfigurations checks the output and the exit code for good, doubtful and wrong files
// of both formats.
func TestCheckConfigurations(t *testing.T) {
	for name, test := range map[string]struct {
		file, text string
		flags      []string
		want       string
		code       int
	}{
		"good JSON":     {"c.json", versionOne, nil, "1 instances, 1 routes, 1 workspaces: no errors, 0 warnings\n", exitOK},
		"doubtful JSON": {"c.json", versionTwo, nil, "c.json: routes[0]: route/shop: the timeout of 100 ms is below the latency objective of 200 ms; raise", exitOK},
		"strict":        {"c.json", versionTwo, []string{"--strict"}, "no errors, 1 warnings\n", exitFindings},
		"slots":         {"c.json", strings.Replace(versionOne, `:50`, `:5000`, 1), []string{"--slots", "12"}, "tenants[0]: workspace/red: the rate of 5000/s can't fit the 12 slots", exitOK},
		"shared key":    {"c.json", strings.Replace(versionOne, `}]}`, `},{"name":"blue","api-keys":["zq7-2"]}]}`, 1), nil, `error: `, exitBadInput},
		"broken JSON":   {"c.json", strings.Replace(versionOne, `"zq7-2"`, `"zq7-2`, 1), nil, "c.json: line 2, byte ", exitBadInput},
		"leading space": {"c", "\n  " + versionOne, nil, "no errors", exitOK},
		"wrong format":  {"c.json", versionOne, []string{"--format", "toml"}, "", exitBadInput},
		"wrong output":  {"c.json", versionOne, []string{"--output", "xml"}, "", exitBadInput},
		"good YAML":     {"set.yaml", objects, nil, "1 instances, 1 routes, 1 workspaces: no errors, 0 warnings\n", exitOK},
		"doubtful YAML": {"set.yaml", strings.Replace(objects, "maxAge: 2s", "maxAge: 100ms", 1), nil, "set.yaml:12: route/shop: replicas can hardly prove an age of 100 ms", exitOK},
		"wrong YAML":    {"set.yaml", strings.Replace(objects, "group: orders", "group: x", 1), nil, `set.yaml:15: route/shop: group "x" is not in the set; publish`, exitBadInput},
		"YAML as JSON":  {"set.yaml", objects, []string{"--format", "json"}, "set.yaml: line 1, byte 1: it is no JSON", exitBadInput},
	} {
		t.Run(name, func(t *testing.T) {
			output, code := runCommand(t, append([]string{"check", writeFile(t, test.file, test.text)}, test.flags...)...)
			require.Equal(t, test.code, code, output)
			require.Contains(t, output, test.want)
		})
	}
	_, code := runCommand(t, "check", writeFile(t, "a.json", versionOne), writeFile(t, "b.json", versionOne))
	require.Equal(t, exitBadInput, code, "a configuration of the platform is one file")
}

// TestCheckAsJSON checks the output for tools.
func TestCheckAsJSON(t *testing.T) {
	output, code := runCommand(t, "check", "--output", "json", writeFile(t, "c.json", versionTwo))
	require.Equal(t, exitOK, code)
	var report findingsOutput
	require.NoError(t, json.Unmarshal([]byte(output), &report))
	require.Equal(t, 1, report.Warnings)
	require.Equal(t, "warning", report.Findings[0].Severity)
	output, _ = runCommand(t, "check", "--output", "json", writeFile(t, "c.json", versionOne))
	require.Contains(t, output, `"findings": []`)
}

// TestDiffConfigurations compares two configurations of the platform, and with the one in its
// store.
func TestDiffConfigurations(t *testing.T) {
	one, two := writeFile(t, "one.json", versionOne), writeFile(t, "two.json", versionTwo)
	want := `changed route/shop
    timeout (ms) 1000 -> 100
    effect: new sessions with database "d" use the new values, and open ones from their next operation on
changed workspace/red
    1 key removed
    effect: sessions of 1 key end, except on public routes
affected: 1 routes ["shop"], 1 workspaces ["red"]
`
	output, code := runCommand(t, "diff", two, "--against", one)
	require.Equal(t, exitOK, code)
	require.Equal(t, want, output)
	output, code = runCommand(t, "diff", one, "--against", two, "--exit-code")
	require.Equal(t, exitFindings, code)
	require.Contains(t, output, "warning: version 1 is not greater than version 2 in force; proxies ignore it\n")
	output, code = runCommand(t, "diff", one, "--against", one, "--exit-code")
	require.Equal(t, exitOK, code)
	require.Contains(t, output, "no object differs")
	_, code = runCommand(t, "diff", two)
	require.Equal(t, exitBadInput, code, "the version in force is not known")
	_, code = runCommand(t, "diff", two, "--against", writeFile(t, "set.yaml", objects))
	require.Equal(t, exitBadInput, code)
	_, code = runCommand(t, "diff", writeFile(t, "bad.json", "{"), "--against", one)
	require.Equal(t, exitBadInput, code)

	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(map[string]any{"items": []any{map[string]any{"key": "op/config", "value": []byte(versionOne), "revision": 4}}, "at": 4})
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	output, code = runCommand(t, "diff", two, "--store", address)
	require.Equal(t, exitOK, code)
	require.Equal(t, want, output)
	server.Close()
	_, code = runCommand(t, "diff", two, "--store", address)
	require.Equal(t, exitUnavailable, code)
}

// TestDiffAsJSON checks the output for tools.
func TestDiffAsJSON(t *testing.T) {
	output, code := runCommand(t, "diff", "--output", "json", writeFile(t, "two.json", versionTwo), "--against", writeFile(t, "one.json", versionOne))
	require.Equal(t, exitOK, code)
	var report diffOutput
	require.NoError(t, json.Unmarshal([]byte(output), &report))
	require.Equal(t, uint64(1), report.VersionBefore)
	require.Equal(t, uint64(2), report.VersionAfter)
	require.False(t, report.Ignored)
	require.Equal(t, []string{"shop"}, report.Routes)
	require.Equal(t, []string{"red"}, report.Workspaces)
	require.Len(t, report.Sessions, 2)
	require.NotContains(t, output, "null")
}

// TestDiffObjectFiles compares object files, whose lines are shown, too.
func TestDiffObjectFiles(t *testing.T) {
	before := writeFile(t, "set.yaml", objects)
	after := writeFile(t, "set.yaml", strings.Replace(objects, "users: [web]", "users: [till]", 1))
	output, code := runCommand(t, "diff", after, "--against", before)
	require.Equal(t, exitOK, code)
	for _, line := range []string{
		"+users: [till]\n", "changed workspace/storefront\n", `    1 user added ["till"]` + "\n", "    effect: sessions of 1 user end, except on public routes\n",
		`affected: 0 routes [], 1 workspaces ["storefront"]` + "\n",
	} {
		require.Contains(t, output, line)
	}
}
