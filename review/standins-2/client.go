package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Client is one session of a client with a proxy.
type Client struct {
	name   string
	socket net.Conn
	reader *bufio.Reader
	state  string
	record *Recorder
}

// Reply is the answer to one request.
type Reply struct {
	Code string // DONE, or the code of ERR
	Rows []string
	Sign string
	Err  error
}

// Dial opens a session with a database.
func Dial(record *Recorder, name, address, database string) (*Client, error) {
	socket, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	client := &Client{name: name, socket: socket, reader: bufio.NewReader(socket), record: record}
	_ = socket.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(socket, "START %s\r\n", database)
	text, err := readLine(client.reader)
	if err != nil || !strings.HasPrefix(text, "READY I") {
		socket.Close()
		return nil, fmt.Errorf("no session: %q %v", text, err)
	}
	client.state = "I"
	return client, nil
}

// newID returns an id for a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Query sends a request and reads its answer.
func (client *Client) Query(id, text string, wait time.Duration) Reply {
	client.record.Add("client %s sends: QUERY %s %s", client.name, id, text)
	_ = client.socket.SetDeadline(time.Now().Add(wait))
	var reply Reply
	if _, reply.Err = fmt.Fprintf(client.socket, "QUERY %s %s\r\n", id, text); reply.Err != nil {
		return reply
	}
	for {
		line, err := readLine(client.reader)
		if err != nil {
			reply.Err = err
			client.record.Add("client %s: %s has no answer: %v", client.name, id, err)
			return reply
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			reply.Rows = append(reply.Rows, rest)
		case "DONE":
			reply.Code, reply.Sign = "DONE", rest
		case "ERR":
			reply.Code, _, _ = strings.Cut(rest, " ")
		case "READY":
			client.state, _, _ = strings.Cut(rest, " ")
			client.record.Add("client %s: %s is answered: %s %s %v, READY %s", client.name, id, reply.Code, reply.Sign, reply.Rows, client.state)
			return reply
		}
	}
}

// Close ends the session.
func (client *Client) Close() { _ = client.socket.Close() }
