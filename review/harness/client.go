package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// client is one client's session.
type client struct {
	conn    net.Conn
	scanner *bufio.Scanner
}

// result is the answer to one request; code is empty for a success and "cut" without an
// answer.
type result struct {
	code, signature string
	rows            []string
}

// dial opens a session with a database.
func dial(node *node, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", node.host+":8784", 2*time.Second)
	if err != nil {
		return nil, err
	}
	client := &client{conn: conn, scanner: newScanner(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "START %s u%x\r\n", database, rand.Uint32()); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !client.scanner.Scan() || !strings.HasPrefix(client.scanner.Text(), "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("no session: %q", client.scanner.Text())
	}
	return client, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// query sends one request and reads the answer.
func (client *client) query(id, text string, timeout time.Duration) result {
	_ = client.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := client.conn.Write([]byte("QUERY " + id + " " + text + "\r\n")); err != nil {
		return result{code: "cut"}
	}
	return client.answer()
}

// answer reads the answer to one request.
func (client *client) answer() result {
	answer := result{code: "cut"}
	for client.scanner.Scan() {
		word, rest, _ := strings.Cut(client.scanner.Text(), " ")
		switch word {
		case "ROW":
			answer.rows = append(answer.rows, rest)
		case "DONE":
			answer.code, answer.signature = "", rest
		case "ERR":
			answer.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return answer
		}
	}
	if answer.code == "" {
		answer.code = "cut"
	}
	return answer
}

func (client *client) close() { _ = client.conn.Close() }
