/** Greatest length of a request id; runners and records may rely on it. */
export const maxRequestIdLength = 96

/**
 * Creates the generator of request ids `<member>.<incarnation>.<number>`. The prefix identifies the
 * process that may have started a request. When that process has vanished, its permits can be
 * reclaimed once no request with the prefix is running any more.
 *
 * @example
 * const nextId = createRequestIds({ id: 'e1', incarnation: 'k3f9' })
 * nextId() // 'e1.k3f9.1'
 */
export function createRequestIds(member: { id: string; incarnation: string }): () => string {
  let count = 0
  return () => {
    count += 1
    return `${member.id}.${member.incarnation}.${count.toString(36)}`
  }
}
