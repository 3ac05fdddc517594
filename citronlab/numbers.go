package main

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// decodeNumbers decodes JSON from protojson, which writes 64-bit integers as strings, and turns those back into numbers.
func decodeNumbers(body []byte, target *map[string]any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(target); err != nil {
		return err
	}
	*target = restoreNumbers(*target).(map[string]any)
	return nil
}

// restoreNumbers replaces every string in v that holds an integer by that integer and returns v.
func restoreNumbers(v any) any {
	switch x := v.(type) {
	case map[string]any:
		for key, value := range x {
			x[key] = restoreNumbers(value)
		}
	case []any:
		for n, value := range x {
			x[n] = restoreNumbers(value)
		}
	case string:
		if n, err := strconv.ParseInt(x, 10, 64); err == nil {
			return n
		}
	}
	return v
}
