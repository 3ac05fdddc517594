package main

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// decodeNumbers reads JSON and turns whole numbers, which protojson writes as texts, back into numbers.
func decodeNumbers(body []byte, into *map[string]any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(into); err != nil {
		return err
	}
	*into = restoreNumbers(*into).(map[string]any)
	return nil
}

func restoreNumbers(v any) any {
	switch x := v.(type) {
	case map[string]any:
		for key, inner := range x {
			x[key] = restoreNumbers(inner)
		}
	case []any:
		for n, inner := range x {
			x[n] = restoreNumbers(inner)
		}
	case string:
		if n, err := strconv.ParseInt(x, 10, 64); err == nil {
			return n
		}
	}
	return v
}
