package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"

	"github.com/zeebo/errs"

	laburnumv1 "laburnumrouter/proto/laburnum/v1"
)

type keyHashCommand struct{}

// Run prints the SHA-256 of a key read from standard input.
func (k *keyHashCommand) Run() error {
	var secret string
	if _, err := fmt.Fscan(os.Stdin, &secret); err != nil {
		return errs.New("no key on standard input: %v", err)
	}
	sum := sha256.Sum256([]byte(secret))
	fmt.Println(hex.EncodeToString(sum[:]))
	return nil
}

type keyWithdrawCommand struct {
	SHA256 string `arg:"" name:"sha256" help:"SHA-256 of the key, in hexadecimal."`
}

// Run withdraws a key. It calls every control instance, because in a network partition each one spreads the withdrawal
// on its own side.
func (k *keyWithdrawCommand) Run(cli *commandLine) error {
	sum, err := hex.DecodeString(k.SHA256)
	if err != nil || len(sum) != sha256.Size {
		return errs.New("%q is not a SHA-256 of 64 hexadecimal digits", k.SHA256)
	}
	answers, err := callAll(&cli.connection, func(ctx context.Context, client operatorClient) (*laburnumv1.WithdrawKeyResponse, error) {
		return client.WithdrawKey(ctx, &laburnumv1.WithdrawKeyRequest{Sha256: sum, By: cli.By})
	})
	if err != nil {
		return err
	}
	return reportWithdrawal(cli, answers)
}

// withdrawal is the JSON output of key withdraw.
type withdrawal struct {
	Committed bool     `json:"committed"`
	Told      []string `json:"told"`
	Unreached []string `json:"unreached"`
}

func reportWithdrawal(cli *commandLine, answers []answer[*laburnumv1.WithdrawKeyResponse]) error {
	result := &withdrawal{}
	var failures errs.Group
	for _, a := range answers {
		if a.err != nil {
			result.Unreached = append(result.Unreached, a.address)
			failures.Add(fmt.Errorf("%s: %w", a.address, a.err))
			if final := finalError(a.err); final != nil {
				return final
			}
			continue
		}
		result.Told = append(result.Told, a.address)
		result.Committed = result.Committed || a.value.Committed
	}
	if len(result.Told) == 0 {
		return errUnavailable.Wrap(failures.Err())
	}
	return cli.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "key withdrawn at %d of %d control instances; committed: %t\n", len(result.Told), len(answers), result.Committed)
		if !result.Committed {
			fmt.Fprintln(w, "not committed: it spreads from peer to peer, but a data centre that is cut off may not know of it; repeat the command after the repair")
		}
	})
}
