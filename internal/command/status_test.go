package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"
)

// TestStatusShowsWorkspaces checks that the workspaces of the newest generation are listed with
// the numbers of their keys and users.
func TestStatusShowsWorkspaces(t *testing.T) {
	pages := map[string]string{
		"old": `{"name":"p0","generation":3,"workspaces":[{"name":"gone","keys":9}]}`,
		"new": `{"name":"p1","generation":4,"workspaces":[{"name":"red","rate":50,"burst":10,"keys":2,"users":1},{"name":"blue","priority":1}]}`,
	}
	var addresses []string
	for _, name := range []string{"new", "old"} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(pages[name])) }))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	var output bytes.Buffer
	command := &cobra.Command{}
	command.SetOut(&output)
	command.SetContext(t.Context())
	require.NoError(t, printStatus(command, addresses))
	require.Contains(t, output.String(), `
workspaces of generation 4
workspace  priority  rate      burst  keys  users
red        0         50/s      10     2     1
blue       1         no limit  0      0     0
`)
	require.NotContains(t, output.String(), "gone")
}
