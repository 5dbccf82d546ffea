package caller

import (
	"strings"

	"github.com/ebonywood/ebonywood"
)

// accessOf guesses from the first words whether a statement reads.
//
// It is a hint and no parser: what looks like a read and writes is refused by a
// replica (SQLSTATE 25006), which proves that it was not run, and then goes to
// the primary. What looks like a write and reads costs the primary some work.
// Several statements in one query are taken for a write.
func accessOf(sql string) ebonywood.Access {
	sql = skipComments(sql)
	if rest := strings.IndexByte(sql, ';'); rest >= 0 && skipComments(strings.TrimLeft(sql[rest:], "; \t\r\n")) != "" {
		return ebonywood.AccessWrite
	}
	word, rest := firstWord(sql)
	switch strings.ToUpper(word) {
	case "", "SELECT", "SHOW", "VALUES", "TABLE", "WITH", "EXPLAIN":
		return ebonywood.AccessRead
	case "BEGIN", "START":
		if strings.Contains(strings.ToUpper(rest), "READ ONLY") {
			return ebonywood.AccessRead
		}
	case "COPY":
		if strings.Contains(strings.ToUpper(rest), "TO STDOUT") {
			return ebonywood.AccessRead
		}
	}
	return ebonywood.AccessWrite
}

func firstWord(sql string) (word, rest string) {
	end := strings.IndexFunc(sql, func(letter rune) bool {
		return (letter < 'a' || letter > 'z') && (letter < 'A' || letter > 'Z')
	})
	if end < 0 {
		return sql, ""
	}
	return sql[:end], sql[end:]
}

func firstUpper(sql string) string {
	word, _ := firstWord(skipComments(sql))
	return strings.ToUpper(word)
}

// skipComments drops white space and comments before the first word.
func skipComments(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n(")
		switch {
		case strings.HasPrefix(sql, "--"):
			_, after, found := strings.Cut(sql, "\n")
			if !found {
				return ""
			}
			sql = after
		case strings.HasPrefix(sql, "/*"):
			_, after, found := strings.Cut(sql, "*/")
			if !found {
				return ""
			}
			sql = after
		default:
			return sql
		}
	}
}
