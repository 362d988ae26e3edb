// Guards against a server that only our own client understands: calls it with the Connect client
// from npm over HTTP/1.1, with binary and JSON messages.
//
// Environment: INTEROP_SERVER    path of interop_server
//              INTEROP_ADDRESS   host:port of a running entry to call instead of interop_server
//              INTEROP_JOB       JSON form of a job that this entry accepts and completes
import assert from "node:assert/strict";
import { execFileSync, spawn } from "node:child_process";
import { once } from "node:events";
import { after, before, test } from "node:test";
import { createFileRegistry, fromBinary, fromJson, toBinary } from "@bufbuild/protobuf";
import { FileDescriptorSetSchema } from "@bufbuild/protobuf/wkt";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";

const program = process.env.INTEROP_SERVER;
const external = process.env.INTEROP_ADDRESS;
const registry = createFileRegistry(
  fromBinary(FileDescriptorSetSchema, execFileSync(program, ["--descriptors"])),
);
const Dispatcher = registry.getService("bluebellquay.v1.Dispatcher");
const UpstreamRegistry = registry.getService("bluebellquay.v1.UpstreamRegistry");
const Job = registry.getMessage("bluebellquay.v1.Job");
const Response = registry.getMessage("bluebellquay.v1.SubmissionResponse");
const Completed = registry.getEnum("bluebellquay.v1.Outcome").values
  .find((value) => value.name === "OUTCOME_COMPLETED").number;

const job = fromJson(Job, JSON.parse(process.env.INTEROP_JOB ?? `{
  "branch": "hinokuni", "customer": "archive", "team": "panel", "kind": "search",
  "tasks": [{"payload": "AP8B", "declaredRunMs": 5}, {"payload": ""}],
  "exceptions": {"@type": "type.googleapis.com/hinokuni.v1.Exceptions", "panelOpen": true}
}`), { registry });

let server;
let address = external;

before(async () => {
  if (external)
    return;
  server = spawn(program, [], { stdio: ["pipe", "pipe", "inherit"] });
  const [line] = await once(server.stdout, "data");
  address = `127.0.0.1:${Number(line.toString())}`;
});

after(async () => {
  if (!server)
    return;
  server.stdin.end();
  await once(server, "exit");
});

function transport(useBinaryFormat) {
  return createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: "1.1",
    useBinaryFormat,
    jsonOptions: { registry },
  });
}

async function codeOf(promise) {
  const error = await promise.then(() => undefined, (reason) => reason);
  assert.ok(error instanceof ConnectError, `expected an error, got ${error}`);
  return Code[error.code];
}

async function reserve(client) {
  const { ids, validForMs } = await client.reserveIds({ count: 3 });
  assert.equal(ids.length, 3);
  assert.equal(new Set(ids).size, 3);
  assert.ok(validForMs > 0);
  return ids[0];
}

for (const binary of [true, false]) {
  const form = binary ? "binary" : "JSON";

  test(`a submission in ${form} form completes, and each repeat gives the same answer`, async () => {
    const client = createClient(Dispatcher, transport(binary));
    const id = await reserve(client);
    const request = { id, attempt: 1, job };
    const answer = await client.submit(request, { timeoutMs: 10000 });
    assert.equal(answer.id, id);
    assert.equal(answer.outcome, Completed);
    assert.equal(answer.outputs.length, job.tasks.length);
    if (!external)
      assert.deepEqual(answer.outputs, job.tasks.map((task) => task.payload));
    const repeats = [await client.submit({ ...request, attempt: 2 }), await client.await({ id }),
      await client.status({ id })];
    for (const repeat of repeats) {
      assert.equal(repeat.outcome, Completed);
      assert.deepEqual(repeat.outputs, answer.outputs);
    }
  });

  test(`errors in ${form} form have their published codes`, async () => {
    const client = createClient(Dispatcher, transport(binary));
    const id = await reserve(client);
    await client.submit({ id, attempt: 1, job });
    const other = { ...job, kind: `${job.kind}-other` };
    assert.equal(await codeOf(client.submit({ id, attempt: 2, job: other })), "AlreadyExists");
    assert.equal(await codeOf(client.submit({ id: "nonsense", job })), "InvalidArgument");
    const registryClient = createClient(UpstreamRegistry, transport(binary));
    assert.equal(await codeOf(registryClient.announce({})), "Unimplemented");
  });

  test(`a call in ${form} form ends at its timeout and the answer is kept`,
    { skip: external ? "needs the task times of interop_server" : false }, async () => {
      const client = createClient(Dispatcher, transport(binary));
      const id = await reserve(client);
      const slow = { ...job, tasks: [{ ...job.tasks[0], declaredRunMs: 500 }] };
      const request = { id, attempt: 1, job: slow };
      assert.equal(await codeOf(client.submit(request, { timeoutMs: 50 })), "DeadlineExceeded");
      assert.equal((await client.await({ id })).outcome, Completed);
    });
}

test("concurrent calls on kept-alive connections get their own answers", async () => {
  const client = createClient(Dispatcher, transport(true));
  const { ids } = await client.reserveIds({ count: 50 });
  const answers = await Promise.all(ids.map((id) => client.submit({ id, attempt: 1, job })));
  assert.deepEqual(answers.map((answer) => answer.id), ids);
  assert.ok(toBinary(Response, answers[0]).length > 0);
});

test("a stranger to the protocol is refused by HTTP status", async () => {
  const url = `http://${address}/bluebellquay.v1.Dispatcher/Status`;
  assert.equal((await fetch(url)).status, 405);
  const wrongType = { method: "POST", headers: { "Content-Type": "text/plain" }, body: "{}" };
  assert.equal((await fetch(url, wrongType)).status, 415);
  const missing = { method: "POST", headers: { "Content-Type": "application/json" }, body: "{}" };
  assert.equal((await fetch(`${url}X`, missing)).status, 404);
});
