package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// show prints value if the output format is json, else text.
func show(f flags, value any, text string) int {
	if *f.output != "json" {
		fmt.Print(text)
		return exitOK
	}
	body, err := marshal(value)
	if err != nil {
		return fail(exitFailed, "%v", err)
	}
	_, _ = os.Stdout.Write(append(body, '\n'))
	return exitOK
}

// marshal encodes a schema message or a struct as indented JSON.
func marshal(value any) ([]byte, error) {
	if message, ok := value.(proto.Message); ok {
		return protojson.MarshalOptions{EmitUnpopulated: true, Multiline: true}.Marshal(message)
	}
	return json.MarshalIndent(value, "", "  ")
}

// table formats rows as aligned columns; the first row holds the column heads.
func table(rows [][]string) string {
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
	return out.String()
}
