package objectfile

import (
	"encoding/json"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSchemaListsAcceptedFields checks that the JSON schema for editors lists the
// fields that the parser accepts. They are taken from the fault of an unknown field.
func TestSchemaListsAcceptedFields(t *testing.T) {
	text, err := os.ReadFile("../../docs/objects.schema.json")
	require.NoError(t, err)
	var schema struct {
		OneOf []struct {
			Title      string         `json:"title"`
			Properties map[string]any `json:"properties"`
		} `json:"oneOf"`
	}
	require.NoError(t, json.Unmarshal(text, &schema))
	require.Len(t, schema.OneOf, 4)
	listed := regexp.MustCompile(`use one of ([a-zA-Z, ]+)`)
	for _, kind := range schema.OneOf {
		var names []string
		for name := range kind.Properties {
			names = append(names, name)
		}
		slices.Sort(names)
		_, err := parse(strings.Replace(good, "kind: "+kind.Title+"\n", "kind: "+kind.Title+"\nbogus: 1\n", 1))
		match := listed.FindStringSubmatch(err.Error())
		require.NotNil(t, match, kind.Title)
		require.Equal(t, strings.Join(names, ", "), match[1], kind.Title)
	}
}
