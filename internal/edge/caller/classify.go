package caller

import (
	"strings"

	"github.com/ebonywood/ebonywood"
)

// accessOf classifies a statement as a read or a write by its first words.
//
// It is a heuristic, not a parser. A replica refuses a write that was classified as a
// read (SQLSTATE 25006), which proves that it was not run, and it is then sent to the
// primary. A read that was classified as a write only adds load to the primary.
// Several statements in one query are classified as a write.
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

// firstWord splits sql after its leading ASCII letters.
func firstWord(sql string) (word, rest string) {
	end := strings.IndexFunc(sql, func(letter rune) bool {
		return (letter < 'a' || letter > 'z') && (letter < 'A' || letter > 'Z')
	})
	if end < 0 {
		return sql, ""
	}
	return sql[:end], sql[end:]
}

// firstUpper returns the first word after comments in upper case.
func firstUpper(sql string) string {
	word, _ := firstWord(skipComments(sql))
	return strings.ToUpper(word)
}

// skipComments removes white space, opening parentheses and comments before the first
// word. A nested block comment ends at the first "*/".
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
