// Calls an entry with the official OpenAI client library and checks the results and errors that the library returns.
import OpenAI from 'openai';

const [baseURL, apiKey, model] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey, maxRetries: 0, timeout: 30_000 });
const prompt = [{ role: 'user', content: 'Name three spices for fennel sausage.' }];
let failures = 0;

async function check(name, run) {
  try {
    console.log(`ok: ${name}: ${await run()}`);
  } catch (error) {
    failures += 1;
    console.log(`failed: ${name}: ${error.constructor.name}: ${error.message}`);
  }
}

function expect(condition, message) {
  if (!condition) throw new Error(message);
}

async function expectError(type, status, code, call) {
  try {
    await call();
  } catch (error) {
    expect(error instanceof type, `expected ${type.name}, got ${error.constructor.name}: ${error.message}`);
    expect(error.status === status, `expected status ${status}, got ${error.status}`);
    expect(error.code === code, `expected code ${code}, got ${error.code}`);
    return `${type.name}, status ${status}, code ${code}`;
  }
  throw new Error(`expected ${type.name}, got an answer`);
}

await check('model list', async () => {
  const names = [];
  for await (const item of client.models.list()) names.push(item.id);
  expect(names.includes(model), `'${model}' is not among: ${names.join(', ')}`);
  return names.join(', ');
});

await check('unstreamed chat answer', async () => {
  const response = await client.chat.completions.create({ model, messages: prompt, max_tokens: 20 });
  const choice = response.choices[0];
  expect(choice.message.content.length > 0, 'the text is empty');
  expect(['stop', 'length'].includes(choice.finish_reason), `finish reason ${choice.finish_reason}`);
  expect(response.usage.completion_tokens > 0, 'no completion tokens are counted');
  return `${response.usage.completion_tokens} tokens, ${choice.finish_reason}`;
});

await check('streamed chat answer', async () => {
  const stream = await client.chat.completions.create({ model, messages: prompt, max_tokens: 20, stream: true });
  let tokens = 0;
  let reason = null;
  for await (const chunk of stream) {
    if (chunk.choices[0]?.delta?.content) tokens += 1;
    reason = chunk.choices[0]?.finish_reason ?? reason;
  }
  expect(tokens > 0, 'no token arrived');
  expect(['stop', 'length'].includes(reason), `finish reason ${reason}`);
  return `${tokens} tokens, ${reason}`;
});

await check('unstreamed completion', async () => {
  const response = await client.completions.create({ model, prompt: 'Fennel', max_tokens: 20 });
  expect(response.choices[0].text.length > 0, 'the text is empty');
  return `${response.usage.completion_tokens} tokens, ${response.choices[0].finish_reason}`;
});

await check('wrong key', () => {
  const clientWithWrongKey = new OpenAI({ baseURL, apiKey: `${apiKey}-wrong`, maxRetries: 0 });
  const call = () => clientWithWrongKey.chat.completions.create({ model, messages: prompt });
  return expectError(OpenAI.AuthenticationError, 401, 'invalid_api_key', call);
});

await check('unknown model', () => {
  const call = () => client.chat.completions.create({ model: `${model}-unknown`, messages: prompt });
  return expectError(OpenAI.NotFoundError, 404, 'model_not_found', call);
});

await check('malformed request', () => {
  const call = () => client.chat.completions.create({ model, messages: [] });
  return expectError(OpenAI.BadRequestError, 400, 'invalid_request', call);
});

console.log(failures === 0 ? 'all checks passed' : `${failures} checks failed`);
process.exit(failures === 0 ? 0 : 1);
