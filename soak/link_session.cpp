#include "link_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <utility>

using namespace masticproxy;
using namespace masticproxy::soak;
using boost::asio::ip::tcp;
using error = boost::system::error_code;

namespace {

/// By how much a delayed link is late, each way: more than a target latency of
/// the site, less than the time-out of a request.
constexpr std::chrono::milliseconds LinkDelay{400};

/// A link that copies does so with one response in this many.
constexpr unsigned CopyEach = 3;

/// Time after which a process finds a silent connection dead by the keep-alive
/// probes of its kernel. This proxy's own kernel answers them, which a silent
/// network would not, so that the proxy has to end the connection.
constexpr std::chrono::milliseconds KeepAliveTime{4000};

/// \returns an endless answer, by turns in each part of the grammar.
const endless_answer &nextEndlessAnswer() {
  static const std::vector<endless_answer> Answers = endlessAnswers();
  static std::size_t Next = 0;
  return Answers[Next++ % Answers.size()];
}

} // namespace

link_session::link_session(tcp::socket NewCaller, link_mode NewMode)
    : Caller(std::move(NewCaller)), Target(Caller.get_executor()),
      KeepAlive(Caller.get_executor()), Mode(NewMode) {
  Requests.From = Responses.Into = &Caller;
  Requests.Into = Responses.From = &Target;
  for (pipe *Pipe : {&Requests, &Responses})
    Pipe->Timer =
        std::make_shared<boost::asio::steady_timer>(Caller.get_executor());
}

void link_session::start(const tcp::endpoint &Address) {
  setMode(Mode);
  Target.async_connect(Address, [Self = shared_from_this()](const error &E) {
    if (E)
      return Self->reset();
    Self->read(Self->Requests);
    Self->read(Self->Responses);
  });
}

void link_session::setMode(link_mode NewMode) {
  Mode = NewMode;
  Requests.Dropping = Requests.Dropping || Mode == link_mode::Silent;
  Responses.Dropping = Responses.Dropping || Mode == link_mode::Silent ||
                       Mode == link_mode::OneWay;
  if (Mode == link_mode::Resetting)
    return reset();
  if (Responses.Dropping)
    awaitKeepAlive();
}

void link_session::awaitKeepAlive() {
  if (std::exchange(Silent, true))
    return;
  KeepAlive.expires_after(KeepAliveTime);
  KeepAlive.async_wait([Self = weak_from_this()](const error &E) {
    auto Open = Self.lock();
    if (!E && Open)
      Open->reset();
  });
}

void link_session::reset() {
  error Ignored;
  for (tcp::socket *Socket : {&Caller, &Target})
    if (Socket->is_open())
      Socket->set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  close();
}

void link_session::read(pipe &Pipe) {
  Pipe.From->async_read_some(
      boost::asio::buffer(Pipe.Chunk),
      [Self = shared_from_this(), &Pipe](const error &E, std::size_t Bytes) {
        if (!E)
          return Self->passOn(Pipe, Bytes);
        // Nobody hears of the end of a connection that has fallen silent.
        if (!Pipe.Dropping)
          Self->close();
      });
}

void link_session::passOn(pipe &Pipe, std::size_t Bytes) {
  if (Pipe.Dropping)
    return read(Pipe);
  bool Endless = Mode == link_mode::Endless && &Pipe == &Responses;
  if (Endless) {
    Answer = nextEndlessAnswer();
    return writeEndless(Answer.Start);
  }
  if (Mode == link_mode::Cutting && &Pipe == &Responses)
    return writePart(Bytes);
  if (&Pipe == &Responses)
    LastResponse.append(Pipe.Chunk.data(), Bytes);
  else if (copyResponse(Bytes))
    return;
  if (Mode != link_mode::Delayed)
    return write(Pipe, Bytes);
  Pipe.Timer->expires_after(LinkDelay);
  Pipe.Timer->async_wait([Self = shared_from_this(), &Pipe, Bytes](error) {
    Self->write(Pipe, Bytes);
  });
}

bool link_session::copyResponse(std::size_t RequestBytes) {
  Copy = std::exchange(LastResponse, {});
  bool Due = Mode == link_mode::Copying && !Copy.empty() &&
             ++RequestsSeen % CopyEach == 0;
  if (!Due)
    return false;
  boost::asio::async_write(
      Caller, boost::asio::buffer(Copy),
      [Self = shared_from_this(), RequestBytes](const error &E, std::size_t) {
        return E ? Self->close() : Self->write(Self->Requests, RequestBytes);
      });
  return true;
}

void link_session::writeEndless(const std::string &Bytes) {
  boost::asio::async_write(
      Caller, boost::asio::buffer(Bytes),
      [Self = shared_from_this()](const error &E, std::size_t) {
        return E ? Self->close() : Self->writeEndless(Self->Answer.Then);
      });
}

void link_session::writePart(std::size_t Bytes) {
  // Another byte each time.
  static std::size_t Next = 0;
  boost::asio::async_write(
      Caller, boost::asio::buffer(Responses.Chunk.data(), ++Next % Bytes),
      [Self = shared_from_this()](const error &, std::size_t) {
        Self->close();
      });
}

void link_session::write(pipe &Pipe, std::size_t Bytes) {
  boost::asio::async_write(
      *Pipe.Into, boost::asio::buffer(Pipe.Chunk.data(), Bytes),
      [Self = shared_from_this(), &Pipe](const error &E, std::size_t) {
        return E ? Self->close() : Self->read(Pipe);
      });
}

void link_session::close() {
  error Ignored;
  Caller.close(Ignored);
  Target.close(Ignored);
}
