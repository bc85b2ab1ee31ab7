/**
 * What a loan id says. It names the lender's incarnation, because a restarted lender must not take a
 * renewal for a new loan, and the borrower's limit, because the wire message has no field for it.
 */
export interface LoanKey {
  borrower: string
  borrowerIncarnation: string
  lenderIncarnation: string
  /** The team's limit at the borrower when it asked. */
  limit: number
  /** Rises with each new loan that the borrower's incarnation asks for. */
  seq: number
}

/** Writes a loan id. */
export function formatLoanId(key: LoanKey): string {
  const names = [key.borrower, key.borrowerIncarnation, key.lenderIncarnation]
  return [...names.map(encodeURIComponent), key.limit, key.seq].join('/')
}

/** Reads a loan id; undefined when it is malformed. */
export function parseLoanId(loanId: string): LoanKey | undefined {
  const [borrower, borrowerIncarnation, lenderIncarnation, limit, seq, rest] = loanId.split('/')
  if (borrower === undefined || borrowerIncarnation === undefined || rest !== undefined) return
  if (lenderIncarnation === undefined || !/^\d+$/.test(limit ?? '') || !/^\d+$/.test(seq ?? '')) {
    return undefined
  }
  return {
    borrower: decodeURIComponent(borrower),
    borrowerIncarnation: decodeURIComponent(borrowerIncarnation),
    lenderIncarnation: decodeURIComponent(lenderIncarnation),
    limit: Number(limit),
    seq: Number(seq),
  }
}
