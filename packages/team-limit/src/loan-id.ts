/**
 * Fields of a loan id. The lender's incarnation is part of it, because a restarted lender must not
 * treat a renewal as a new loan. So is the borrower's limit, because the message has no field for
 * it.
 */
export interface LoanKey {
  borrower: string
  borrowerIncarnation: string
  lenderIncarnation: string
  /** The team's limit at the borrower when it sent the request. */
  limit: number
  /** Sequence number that increases with each new loan that the borrower's incarnation requests. */
  seq: number
}

/** Formats a loan id. */
export function formatLoanId(key: LoanKey): string {
  const names = [key.borrower, key.borrowerIncarnation, key.lenderIncarnation]
  return [...names.map(encodeURIComponent), key.limit, key.seq].join('/')
}

/** Parses a loan id; returns undefined when it is malformed. */
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
