"""Target that sends bytes without end, as a process of its own.

Arguments: a key of `FORMS`, and the pace: `fast`, or `drops` for 8 bytes at a time. The
process prints its port.
"""

import socket
import sys
import threading
import time

HEAD = b'HTTP/1.1 200 OK\r\nId: 1\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
OTHERS = b'HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok'
REPEATS = 2000

# First bytes of the answer, and the bytes that are repeated without end.
FORMS = {
    'header lines': (HEAD, b'X-Fill: y\r\n' * REPEATS),
    'header value': (HEAD + b'X-Fill: ', b'y' * 8 * REPEATS),
    'reason phrase': (b'HTTP/1.1 200 ', b'y' * 8 * REPEATS),
    'trailer lines': (CHUNKED + b'2\r\nok\r\n0\r\n', b'X-Fill: y\r\n' * REPEATS),
    'chunk extension': (CHUNKED + b'2;', b'y' * 8 * REPEATS),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * REPEATS),
    'answers of others': (b'', OTHERS * REPEATS),
    'chunked body': (CHUNKED, (b'4000\r\n' + b'y' * 16_384 + b'\r\n') * 8),
    'chunks of one byte': (CHUNKED, b'1\r\ny\r\n' * 4 * REPEATS),
    'body without length': (HEAD + b'\r\n', b'y' * 65_536),
    'body with length': (
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        b'y' * 65_536,
    ),
    'no answer': (b'', b'\r\n' * REPEATS),
}

DROP_PAUSE_S = 0.002


def serve(connection, form, drops):
    first, rest = FORMS[form]
    try:
        connection.recv(65_536)
        connection.sendall(first)
        while True:
            if drops:
                for start in range(0, len(rest), 8):
                    connection.sendall(rest[start : start + 8])
                    time.sleep(DROP_PAUSE_S)
            else:
                connection.sendall(rest)
    except OSError:
        connection.close()


def main():
    form, drops = sys.argv[1], sys.argv[2] == 'drops'
    listener = socket.create_server(('127.0.0.1', 0))
    sys.stdout.write(f'{listener.getsockname()[1]}\n')
    sys.stdout.flush()
    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=serve, args=(connection, form, drops), daemon=True
        ).start()


if __name__ == '__main__':
    main()
