package protocols

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
)

// shell interprets the subset of shell syntax that the page uses: words with
// quotes and variables, comments, "cat >file <<WORD" and "curl" with a
// here-document.
type shell struct {
	vars  func(name string) (string, bool)
	files map[string]string
}

// command is one command line with its here-document.
type command struct {
	words []string
	input string // expanded here-document; empty for none
}

var errUnsupportedShell = errors.New("unsupported shell syntax")

// commands splits a script into commands and calls run for each one. It expands a
// command only after the previous ones ran, so that it sees the files they wrote.
func (s *shell) commands(script string, run func(command) error) error {
	for rest := script; strings.TrimSpace(rest) != ""; {
		words, delimiter, remaining, err := s.words(rest)
		if err != nil {
			return err
		}
		rest = remaining
		next := command{words: words}
		if delimiter != "" {
			text, after, found := strings.Cut("\n"+rest, "\n"+delimiter+"\n")
			if !found {
				return fmt.Errorf("%w: unterminated here-document %s", errUnsupportedShell, delimiter)
			}
			rest = after
			if next.input, err = s.expand(strings.TrimPrefix(text, "\n") + "\n"); err != nil {
				return err
			}
		}
		if len(words) == 0 {
			continue
		}
		if err := run(next); err != nil {
			return err
		}
	}
	return nil
}

// words splits off the first command line of text. It returns the line's words,
// the here-document delimiter that follows "<<", if any, and the remaining text.
func (s *shell) words(text string) (words []string, delimiter, rest string, err error) {
	var word strings.Builder
	inWord := false
	flush := func() {
		if inWord {
			words = append(words, word.String())
		}
		word.Reset()
		inWord = false
	}
	for i := 0; i < len(text); i++ {
		switch char := text[i]; char {
		case '\n':
			flush()
			words, delimiter = cutHeredoc(words)
			return words, delimiter, text[i+1:], nil
		case ' ':
			flush()
		case '\'', '"':
			end := strings.IndexByte(text[i+1:], char)
			if end < 0 {
				return nil, "", "", fmt.Errorf("%w: unterminated quote", errUnsupportedShell)
			}
			inner := text[i+1 : i+1+end]
			if char == '"' {
				if inner, err = s.expand(inner); err != nil {
					return nil, "", "", err
				}
			}
			word.WriteString(inner)
			inWord = true
			i += end + 1
		case '$':
			name := variablePattern.FindString(text[i:])
			value, err := s.expand(name)
			if err != nil {
				return nil, "", "", err
			}
			word.WriteString(value)
			inWord = true
			i += max(len(name)-1, 0)
		case '\\', '|', ';', '`', '&', '(':
			return nil, "", "", fmt.Errorf("%w: %q", errUnsupportedShell, char)
		default:
			word.WriteByte(char)
			inWord = true
		}
	}
	flush()
	words, delimiter = cutHeredoc(words)
	return words, delimiter, "", nil
}

// cutHeredoc splits a final "<<WORD" off the words of a command line.
func cutHeredoc(words []string) (rest []string, delimiter string) {
	if len(words) == 0 {
		return words, ""
	}
	delimiter, found := strings.CutPrefix(words[len(words)-1], "<<")
	if !found {
		return words, ""
	}
	return words[:len(words)-1], delimiter
}

var (
	variablePattern  = regexp.MustCompile(`^\$[A-Z_]+`)
	expansionPattern = regexp.MustCompile(`\$\(cat [a-z.]+\)|\$[A-Z_]+`)
)

// expand replaces variables and $(cat file) by their values.
func (s *shell) expand(text string) (string, error) {
	var expandErr error
	out := expansionPattern.ReplaceAllStringFunc(text, func(match string) string {
		if name, isFile := strings.CutPrefix(match, "$(cat "); isFile {
			content, found := s.files[strings.TrimSuffix(name, ")")]
			if !found {
				expandErr = fmt.Errorf("%w: no file for %s", errUnsupportedShell, match)
			}
			return content
		}
		value, found := s.vars(match[1:])
		if !found {
			expandErr = fmt.Errorf("%w: no variable %s", errUnsupportedShell, match)
		}
		return value
	})
	return out, expandErr
}

// writeFile executes "cat >file" and reports false for any other command.
func (s *shell) writeFile(cmd command) (handled bool) {
	if cmd.words[0] != "cat" || len(cmd.words) != 2 || !strings.HasPrefix(cmd.words[1], ">") {
		return false
	}
	s.files[cmd.words[1][1:]] = cmd.input
	return true
}

// request returns the request that a curl command would send.
func (s *shell) request(cmd command) (*http.Request, error) {
	if cmd.words[0] != "curl" {
		return nil, fmt.Errorf("%w: %s", errUnsupportedShell, cmd.words[0])
	}
	method, address, data, hasData := http.MethodGet, "", "", false
	header := http.Header{}
	for i := 1; i < len(cmd.words); i++ {
		word := cmd.words[i]
		if !strings.HasPrefix(word, "-") {
			if address != "" {
				return nil, fmt.Errorf("%w: more than one URL", errUnsupportedShell)
			}
			address = word
			continue
		}
		if word == "-s" || word == "-sN" {
			continue
		}
		i++
		if i == len(cmd.words) {
			return nil, fmt.Errorf("%w: no value for option %s", errUnsupportedShell, word)
		}
		switch value := cmd.words[i]; word {
		case "-H":
			name, text, found := strings.Cut(value, ": ")
			if !found {
				return nil, fmt.Errorf("%w: header %q", errUnsupportedShell, value)
			}
			header.Add(name, text)
		case "-X":
			method = value
		case "-d":
			text, err := s.curlData(cmd, value)
			if err != nil {
				return nil, err
			}
			data, hasData = text, true
		default:
			return nil, fmt.Errorf("%w: option %s", errUnsupportedShell, word)
		}
	}
	if hasData && method == http.MethodGet {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, address, strings.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header = header
	if hasData {
		req.Header.Set("Content-Type", "application/x-www-form-urlencoded") // as curl does
	}
	return req, nil
}

// curlData returns the body given by -d. Like curl, it removes the line breaks of
// a file.
func (s *shell) curlData(cmd command, value string) (string, error) {
	name, isFile := strings.CutPrefix(value, "@")
	if !isFile {
		return value, nil
	}
	text := cmd.input
	if name != "-" {
		content, found := s.files[name]
		if !found {
			return "", fmt.Errorf("%w: no file %s", errUnsupportedShell, name)
		}
		text = content
	}
	return strings.ReplaceAll(text, "\n", ""), nil
}

// TestShell checks the requests built from a script and the rejection of syntax
// that shell does not support.
func TestShell(t *testing.T) {
	s := &shell{files: map[string]string{}, vars: func(name string) (string, bool) { return "<" + name + ">", name != "NONE" }}
	script := "cat >a.json <<END\n{\"v\":\n\"$VERSION\"}\nEND\n" +
		"curl -s -H \"Authorization: Bearer $KEY\" http://$ENTRY/v1/x -d @- <<BODY\n{\"d\": $(cat a.json)}\nBODY\n" +
		"curl -sN \"http://$ENTRY/v1/y?from=1&to=2\"\ncurl -X DELETE http://h/ -d '{\n  \"$KEY\": 1}'\n"
	var got []string
	err := s.commands(script, func(cmd command) error {
		if s.writeFile(cmd) {
			return nil
		}
		req, err := s.request(cmd)
		if err != nil {
			return err
		}
		body := new(strings.Builder)
		_ = req.Write(body)
		got = append(got, req.Method+" "+req.URL.String()+" "+req.Header.Get("Authorization")+" "+
			body.String()[strings.Index(body.String(), "\r\n\r\n")+4:])
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		`POST http://<ENTRY>/v1/x Bearer <KEY> {"d": {"v":"<VERSION>"}}`,
		`GET http://<ENTRY>/v1/y?from=1&to=2  `,
		"DELETE http://h/  {\n  \"$KEY\": 1}",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got %q, want %q", got, want)
	}
	for _, script := range []string{"wget x\n", "curl --proxy x y\n", "curl 'x\n", "curl $NONE\n", "curl x | jq\n", "curl -d @none x\n", "cat >a <<END\n"} {
		err := s.commands(script, func(cmd command) error {
			if s.writeFile(cmd) {
				return nil
			}
			_, err := s.request(cmd)
			return err
		})
		if !errors.Is(err, errUnsupportedShell) {
			t.Errorf("got %v for %q, want %v", err, script, errUnsupportedShell)
		}
	}
}
