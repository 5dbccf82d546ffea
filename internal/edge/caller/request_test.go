package caller

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/ebonywood/ebonywood"
	"github.com/ebonywood/ebonywood/internal/frame"
)

func TestAccessOf(t *testing.T) {
	cases := map[string]ebonywood.Access{
		"select 1":                          ebonywood.AccessRead,
		"  -- note\n /* more */ (SELECT 1)": ebonywood.AccessRead,
		"show all":                          ebonywood.AccessRead,
		"select 1; ":                        ebonywood.AccessRead,
		"select 1; delete from orders":      ebonywood.AccessWrite,
		"insert into orders values (1)":     ebonywood.AccessWrite,
		"begin":                             ebonywood.AccessWrite,
		"BEGIN TRANSACTION READ ONLY":       ebonywood.AccessRead,
		"copy orders to stdout":             ebonywood.AccessRead,
		"copy orders from stdin":            ebonywood.AccessWrite,
		"/* never closed":                   ebonywood.AccessRead,
	}
	for sql, want := range cases {
		require.Equal(t, want, accessOf(sql), sql)
	}
}

func TestShapeIgnoresLiterals(t *testing.T) {
	require.Equal(t, shapeOf("select v from orders where k = 'a'"), shapeOf("select v from orders where k = 'bc'"))
	require.Equal(t, shapeOf("select 1"), shapeOf("select 22"))
	require.NotEqual(t, shapeOf("select 1"), shapeOf("delete 1"))
}

func TestIsSetting(t *testing.T) {
	for sql, want := range map[string]bool{
		"SET x = 1": true, "set session x to 1": true, "reset all": true, "DISCARD ALL": true,
		"set local x = 1": false, "SET TRANSACTION READ ONLY": false, "select 1": false,
	} {
		require.Equal(t, want, isSetting(sql), sql)
	}
}

// readTestRequest reads one request from a stream of encoded messages.
func readTestRequest(t *testing.T, stream []byte) (*callerRequest, error) {
	caller := &callerSession{frames: frame.NewReader(bytes.NewReader(stream))}
	return caller.readRequest()
}

// TestParseIsPreparedUnderSharedName checks that a statement is prepared under its shared
// name instead of the caller's, and that a placeholder keeps the position of its reply.
func TestParseIsPreparedUnderSharedName(t *testing.T) {
	var stream []byte
	for _, message := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "mine", Query: "insert into orders (k, v) values ($1, $2)"},
		&pgproto3.Bind{PreparedStatement: "mine", Parameters: [][]byte{[]byte("a"), []byte("b")}},
		&pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		encoded, err := message.Encode(stream)
		require.NoError(t, err)
		stream = encoded
	}
	request, err := readTestRequest(t, stream)
	require.NoError(t, err)
	require.Equal(t, ebonywood.AccessWrite, request.access)
	require.Equal(t, []bool{true}, request.closeForParse)
	require.Contains(t, string(request.body), request.preparedStatements[0].Name())
	require.NotContains(t, string(request.body), "mine")
}

// FuzzRequest reads arbitrary bytes. The result must be a request or an error, never a
// panic, and a request must not be much larger than its input.
func FuzzRequest(f *testing.F) {
	query, err := (&pgproto3.Query{String: "select 1"}).Encode(nil)
	require.NoError(f, err)
	bind, err := (&pgproto3.Bind{PreparedStatement: "s"}).Encode(nil)
	require.NoError(f, err)
	f.Add(query)
	f.Add(bind)
	f.Fuzz(func(t *testing.T, stream []byte) {
		request, err := readTestRequest(t, stream)
		if err == nil && request != nil {
			require.LessOrEqual(t, len(request.body), 8*len(stream)+64)
		}
	})
}

// FuzzStartUp reads and decodes arbitrary start-up messages, which must not panic.
func FuzzStartUp(f *testing.F) {
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Fuzz(func(t *testing.T, stream []byte) {
		body, err := readStartUp(bytes.NewReader(stream))
		if err == nil {
			var message pgproto3.StartupMessage
			_ = message.Decode(body)
		}
	})
}
