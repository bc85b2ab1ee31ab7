/**
 * Bytes of bodies that are parsed in one pass of the event loop. V8 keeps the text of each one that is
 * not JSON until a later collection of the old generation.
 */
const maxBytesPerPass = 500_000

let bytesOfPass = 0

/**
 * Parses the body of a request; it waits for a later pass of the event loop when many bytes have been
 * parsed in this one. It addresses clients whose bodies are not JSON.
 *
 * @throws SyntaxError when the body is not JSON.
 * @example
 * const submission = await parseJsonBody(Buffer.concat(chunks))
 */
export async function parseJsonBody(body: Buffer): Promise<unknown> {
  while (bytesOfPass > 0 && bytesOfPass + body.length > maxBytesPerPass)
    await new Promise(resolve => setImmediate(resolve))
  if (bytesOfPass === 0) {
    setImmediate(() => {
      bytesOfPass = 0
    })
  }
  bytesOfPass += body.length
  return JSON.parse(body.toString())
}
