/**
 * A model runner as a process of its own. Its streams have no length and end with their connection, as PROTOCOL.md and
 * RULES.md allow. Arguments: its name, its IP address, the events of a stream, the time before each of them in ms. It prints its
 * address, and a line for each request that it runs; it ends when its standard input does.
 */
import { createServer } from "node:http";

const [id, ip, events, stepMs] = process.argv.slice(2);
const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

async function serve(request, response) {
  let body = "";
  request.setEncoding("latin1");
  for await (const chunk of request) body += chunk;
  const requestId = request.headers["x-request-id"];
  const expected = request.headers["x-expect-instance"];
  if (expected !== undefined && expected !== id) {
    response.writeHead(421, { "X-Request-Id": requestId, "X-Not-Executed": "1" }).end();
    return;
  }
  process.stdout.write(`${JSON.stringify({ ran: requestId, body })}\n`);
  const { socket } = response;
  const head = [
    "HTTP/1.1 200 OK",
    `X-Request-Id: ${requestId}`,
    `X-Response-Signature: ${id}.${requestId}`,
    "Content-Type: text/event-stream",
    "Connection: close",
  ];
  socket.write(`${head.join("\r\n")}\r\n\r\n`);
  for (let event = 1; event <= Number(events); event += 1) {
    await pause(Number(stepMs));
    if (socket.destroyed) return;
    socket.write(`id: ${event}\ndata: ${requestId} piece ${event} of ${events}\n\n`);
  }
  socket.end();
}

const server = createServer((request, response) => void serve(request, response).catch(() => undefined));
server.listen(0, ip, () => {
  process.stdout.write(`${JSON.stringify({ address: `${ip}:${server.address().port}` })}\n`);
});
process.stdin.resume().on("end", () => process.exit(0));
