package verify

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// maxLine bounds one line of a history in bytes.
const maxLine = 1 << 20

// ReadExecutions parses an upstream's history.
func ReadExecutions(r io.Reader) ([]Execution, error) {
	return readLines[Execution](r)
}

// ReadAttempts parses a caller's history.
func ReadAttempts(r io.Reader) ([]Attempt, error) {
	return readLines[Attempt](r)
}

func readLines[T any](r io.Reader) ([]T, error) {
	var list []T
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for n := 1; scan.Scan(); n++ {
		if len(scan.Bytes()) == 0 {
			continue
		}
		var item T
		if err := json.Unmarshal(scan.Bytes(), &item); err != nil {
			return nil, fmt.Errorf("parse history line %d: %w", n, err)
		}
		list = append(list, item)
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	return list, nil
}
