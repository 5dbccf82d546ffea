package hostile

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"
)

const (
	mebibyte = 1 << 20
	// pieceSize is the size in bytes of one write of clients that send in pieces.
	pieceSize = 8 << 10
	// crowdHold is how long a crowd stays connected before the checks beside it. It is
	// enough for its clients to send what a process takes from them.
	crowdHold = 1500 * time.Millisecond
	// besideWindow bounds the attempts to get one request answered beside a crowd. It is
	// shorter than the time limits for connections, so that a process that serves nobody
	// until they close its crowd does not pass.
	besideWindow = 4 * time.Second
	// slowInterval is the pause between two bytes of a slow client.
	slowInterval = 50 * time.Millisecond
	// receiveBufferSize is the size in bytes of the receive buffer of clients, so that the
	// system does not take the replies that a client does not read.
	receiveBufferSize = 4 << 10
)

// crowd is a number of clients with the same behavior.
type crowd struct {
	name    string
	address string
	clients int
	// behave runs one client on its connection, which is closed when the crowd ends.
	// An error of the connection means that the process has closed it.
	behave func(socket net.Conn)
	// askAfterwards is set for crowds beside which a request depends on speed: the ordinary
	// request is sent only once the crowd has disconnected.
	askAfterwards bool
}

// run connects the crowd to the target, checks the process while the crowd is connected and
// after it has disconnected.
func (crowd crowd) run(t *testing.T, target *target) {
	before := target.process.descriptors()
	var group sync.WaitGroup
	var sockets []net.Conn
	for range crowd.clients {
		socket, err := net.DialTimeout("tcp", crowd.address, requestTimeout)
		require.NoError(t, err, "the process does not accept connections")
		_ = socket.(*net.TCPConn).SetReadBuffer(receiveBufferSize)
		sockets = append(sockets, socket)
		group.Go(func() { crowd.behave(socket) })
	}
	mostDescriptors := before
	for deadline := time.Now().Add(crowdHold); time.Now().Before(deadline); time.Sleep(pollInterval) {
		mostDescriptors = max(mostDescriptors, target.process.descriptors())
	}
	besideCrowd := error(nil)
	if !crowd.askAfterwards {
		besideCrowd = target.askUntil(time.Now().Add(besideWindow))
	}
	resident, _ := target.process.memory()
	for _, socket := range sockets {
		_ = socket.Close()
	}
	group.Wait()
	afterCrowd := target.askUntil(time.Now().Add(patience))
	leftover := 0
	for deadline := time.Now().Add(patience); time.Now().Before(deadline) && target.process.isAlive(); time.Sleep(pollInterval) {
		if leftover = target.process.descriptors() - before; leftover <= leftoverDescriptors {
			break
		}
	}
	_, peak := target.process.memory()
	t.Logf("%d clients: resident %d MiB, peak %d MiB, descriptors %d before, %d with the crowd, %d left over",
		crowd.clients, resident>>10, peak>>10, before, mostDescriptors, leftover)
	require.True(t, target.process.isAlive(), "the process has exited: %s", target.process.output.tail())
	if peak > memoryMB<<10 {
		t.Errorf("the peak of the resident memory is %d MiB, over the limit of %d MiB", peak>>10, memoryMB)
	}
	if mostDescriptors > maxDescriptors {
		t.Errorf("%d descriptors were open, over the bound of %d", mostDescriptors, maxDescriptors)
	}
	if leftover > leftoverDescriptors {
		t.Errorf("%d descriptors stay open after the crowd has disconnected", leftover)
	}
	if besideCrowd != nil {
		t.Errorf("no ordinary request was answered beside the crowd: %v", besideCrowd)
	}
	if afterCrowd != nil {
		t.Errorf("no ordinary request was answered after the crowd: %v", afterCrowd)
	}
}

// silent says nothing until the process closes the connection.
func silent(socket net.Conn) { _, _ = io.Copy(io.Discard, socket) }

// sendOnly returns a client that sends text in one write, and then is silent.
func sendOnly(text string) func(net.Conn) {
	return func(socket net.Conn) {
		if _, err := io.WriteString(socket, text); err == nil {
			silent(socket)
		}
	}
}

// sendPieces returns a client that sends text in pieces of pieceSize, and then is silent.
func sendPieces(text string) func(net.Conn) {
	return func(socket net.Conn) {
		for start := 0; start < len(text); start += pieceSize {
			if _, err := io.WriteString(socket, text[start:min(len(text), start+pieceSize)]); err != nil {
				return
			}
		}
		silent(socket)
	}
}

// sendUnread returns a client that sends text count times and reads no reply.
func sendUnread(start, text string, count int) func(net.Conn) {
	return func(socket net.Conn) {
		if _, err := io.WriteString(socket, start); err != nil {
			return
		}
		for range count {
			if _, err := io.WriteString(socket, text); err != nil {
				return
			}
		}
	}
}

// sendSlowly returns a client that sends start and head at once, and then one byte of text
// at a time.
func sendSlowly(start, text string) func(net.Conn) {
	return func(socket net.Conn) {
		if _, err := io.WriteString(socket, start); err != nil {
			return
		}
		for i := range len(text) {
			if _, err := socket.Write([]byte{text[i]}); err != nil {
				return
			}
			time.Sleep(slowInterval)
		}
	}
}

// readSlowly returns a client that sends text count times while it reads the replies one byte
// at a time.
func readSlowly(start, text string, count int) func(net.Conn) {
	return func(socket net.Conn) {
		go sendUnread(start, text, count)(socket)
		for buffer := make([]byte, 1); ; time.Sleep(slowInterval) {
			if _, err := socket.Read(buffer); err != nil {
				return
			}
		}
	}
}

// lineStart opens a session of the line protocol.
const lineStart = "START strict\r\n"

// lineQuery returns a request of the line protocol of size bytes, without its line end.
func lineQuery(size int) string {
	const prefix = "QUERY crowd READ "
	return prefix + strings.Repeat("x", size-len(prefix))
}

// TestNodeFront guards the callers' front of `ebonywood node`, and with it the line reader,
// against crowds of hostile callers.
func TestNodeFront(t *testing.T) {
	for _, crowd := range nodeCrowds() {
		t.Run(crowd.name, func(t *testing.T) {
			node := startNode(t)
			crowd.address = node.front
			crowd.run(t, node)
		})
	}
}

// nodeCrowds returns the crowds of hostile callers of the line protocol.
func nodeCrowds() []crowd {
	legal := lineQuery(mebibyte - 2)
	readLarge := "QUERY crowd READ " + largeItem + "\r\n"
	return []crowd{
		{name: "legalWhole", clients: 150, behave: sendOnly(lineStart + legal + "\r\n"), askAfterwards: true},
		{name: "legalPieces", clients: 150, behave: sendPieces(lineStart + legal + "\r\n"), askAfterwards: true},
		{name: "legalHalf", clients: 150, behave: sendPieces(lineStart + legal)},
		{name: "tooLargeWithEnd", clients: 200, behave: sendPieces(lineStart + lineQuery(8*mebibyte) + "\r\n"), askAfterwards: true},
		{name: "tooLargeWithoutEnd", clients: 200, behave: sendOnly(lineStart + lineQuery(8*mebibyte)), askAfterwards: true},
		{name: "tooLargeStart", clients: 100, behave: sendOnly("START " + strings.Repeat("x", mebibyte-100))},
		{name: "unreadReplies", clients: 200, behave: sendUnread(lineStart, readLarge, 2000)},
		{name: "unreadSmallReplies", clients: 100, behave: sendUnread(lineStart, "QUERY crowd READ item\r\n", 2000), askAfterwards: true},
		{name: "slowSend", clients: 150, behave: sendSlowly(lineStart+legal[:mebibyte/2], legal[mebibyte/2:])},
		{name: "slowRead", clients: 200, behave: readSlowly(lineStart, readLarge, 2000)},
		{name: "silent", clients: 600, behave: silent},
		{name: "halfStart", clients: 600, behave: sendOnly("STAR")},
	}
}

// message returns a message of the PostgreSQL protocol.
func message(kind byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))) + body
}

// postgresStart is the start-up message of an ordinary caller.
var postgresStart = func() string {
	body := "\x00\x03\x00\x00user\x00shop\x00database\x00shop\x00\x00"
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}()

// postgresQuery returns a simple query of size bytes.
func postgresQuery(size int) string {
	const prefix, suffix = "select v from orders where k = '", "'\x00"
	return message('Q', prefix+strings.Repeat("x", size-len(prefix)-len(suffix)-5)+suffix)
}

// TestProxyFront guards the callers' front of `ebonywood proxy` against the same crowds in
// PostgreSQL's protocol, and against batches that no Sync ends.
func TestProxyFront(t *testing.T) {
	for _, crowd := range proxyCrowds() {
		t.Run(crowd.name, func(t *testing.T) {
			proxy := startProxy(t)
			crowd.address = proxy.front
			crowd.run(t, proxy)
		})
	}
}

// proxyCrowds returns the crowds of hostile callers of PostgreSQL's protocol.
func proxyCrowds() []crowd {
	legal := postgresQuery(mebibyte)
	tooLarge := postgresQuery(24 * mebibyte)
	readLarge := message('Q', "select v from orders where k = '"+largeItem+"'\x00")
	parse := func(number int) string {
		return message('P', fmt.Sprintf("s%d\x00select v from orders where k = '%s'\x00\x00\x00", number, strings.Repeat("x", mebibyte/2)))
	}
	var statements strings.Builder
	for number := range 16 {
		statements.WriteString(parse(number) + message('S', ""))
	}
	return []crowd{
		{name: "legalWhole", clients: 150, behave: sendOnly(postgresStart + legal), askAfterwards: true},
		{name: "legalPieces", clients: 150, behave: sendPieces(postgresStart + legal), askAfterwards: true},
		{name: "legalHalf", clients: 150, behave: sendPieces(postgresStart + legal[:len(legal)-100])},
		{name: "tooLargeWhole", clients: 30, behave: sendPieces(postgresStart + tooLarge), askAfterwards: true},
		{name: "tooLargeHalf", clients: 30, behave: sendPieces(postgresStart + tooLarge[:16*mebibyte])},
		{name: "batchWithoutSync", clients: 30, behave: sendUnread(postgresStart, message('d', strings.Repeat("x", mebibyte/2)), 24)},
		{name: "preparedStatements", clients: 40, behave: sendOnly(postgresStart + statements.String())},
		{name: "unreadReplies", clients: 200, behave: sendUnread(postgresStart, readLarge, 2000)},
		{name: "slowSend", clients: 150, behave: sendSlowly(postgresStart+legal[:mebibyte/2], legal[mebibyte/2:])},
		{name: "slowRead", clients: 200, behave: readSlowly(postgresStart, readLarge, 2000)},
		{name: "silent", clients: 600, behave: silent},
		{name: "halfStart", clients: 600, behave: sendOnly(postgresStart[:11])},
	}
}

// peerMessage returns a frame of the protocol between proxies that calls a procedure, and
// one with a message of size bytes.
func peerMessage(size int) string {
	invoke := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: []byte("ebonywood.reach"), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true})
	return string(drpcwire.AppendFrame(invoke, drpcwire.Frame{Data: make([]byte, size), ID: drpcwire.ID{Stream: 1, Message: 2}, Kind: drpcwire.KindMessage, Done: true}))
}

// TestPeers guards the peers' port of both programs.
func TestPeers(t *testing.T) {
	half := peerMessage(mebibyte)
	half = half[:len(half)-100]
	large := peerMessage(4*mebibyte - 100)
	for program, start := range map[string]func(testing.TB) *target{"node": startNode, "proxy": startProxy} {
		for _, crowd := range []crowd{
			{name: "largeHalf", clients: 100, behave: sendPieces(large[:len(large)-100])},
			{name: "messageHalf", clients: 150, behave: sendPieces(half)},
			{name: "tooLarge", clients: 50, behave: sendPieces(peerMessage(16 * mebibyte)), askAfterwards: true},
			{name: "silent", clients: 600, behave: silent},
		} {
			t.Run(program+"/"+crowd.name, func(t *testing.T) {
				target := start(t)
				crowd.address = target.peers
				crowd.run(t, target)
			})
		}
	}
}

// TestOperatorsPage guards the operators' page, which both programs serve with the same code.
func TestOperatorsPage(t *testing.T) {
	request := "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, crowd := range []crowd{
		{name: "silent", clients: 600, behave: silent},
		{name: "keptAlive", clients: 600, behave: sendOnly(request)},
		{name: "largeHeader", clients: 200, behave: sendOnly("GET /metrics HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", mebibyte-1000))},
		{name: "largeBody", clients: 200, behave: sendOnly("GET /status HTTP/1.1\r\nHost: a\r\nContent-Length: 8388608\r\n\r\n" + strings.Repeat("x", mebibyte))},
		{name: "unreadReplies", clients: 200, behave: sendUnread("", request, 10_000)},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			node := startNode(t)
			crowd.address = node.operators
			crowd.run(t, node)
		})
	}
}
