/// \file
/// Stand-ins of the users' platform for the cases of this review: a store,
/// servers, strict HTTP clients, and the daemon as a process of its own.
/// Loopback addresses only; ports are chosen by the system.

#ifndef REVIEW_COMMON_HARNESS_H
#define REVIEW_COMMON_HARNESS_H

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit statuses of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

inline const char *Host = "127.0.0.1";

inline void sleepFor(int Ms) { std::this_thread::sleep_for(milliseconds(Ms)); }

/// Writes record.txt: one line for each thing sent, answered or run.
class record_file {
public:
  void open(const std::string &Path) { File.open(Path); }
  void line(const std::string &Text) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Ms = std::chrono::duration_cast<milliseconds>(steady::now() - Start);
    File << Ms.count() << " ms  " << Text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
  steady::time_point Start = steady::now();
};

inline record_file &theRecord() {
  static record_file Record;
  return Record;
}

inline void record(const std::string &Text) { theRecord().line(Text); }

inline std::string shown(std::string Text) {
  std::string Out;
  for (char C : Text)
    if (C == '\r')
      Out += "\\r";
    else if (C == '\n')
      Out += "\\n";
    else if (static_cast<unsigned char>(C) < 32 || C == 127)
      Out += '?';
    else
      Out += C;
  if (Out.size() > 300)
    Out = Out.substr(0, 300) + "...";
  return Out;
}

/// \returns a socket that listens at a free port, or at \p Port.
inline int listenAt(int &Port) {
  int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  ::inet_pton(AF_INET, Host, &Address.sin_addr);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      ::listen(Fd, 128) != 0) {
    ::close(Fd);
    throw std::runtime_error("can't listen");
  }
  socklen_t Length = sizeof(Address);
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Length);
  Port = ntohs(Address.sin_port);
  return Fd;
}

/// \returns a port that is free now, and none that the system gives to
/// outgoing connections, which could take it before the daemon listens.
inline int freePort() {
  constexpr unsigned First = 10000;
  constexpr unsigned Count = 10000;
  static std::random_device Random;
  static std::set<int> Taken;
  for (;;) {
    int Port = static_cast<int>(First + Random() % Count);
    if (!Taken.insert(Port).second)
      continue;
    try {
      ::close(listenAt(Port));
      return Port;
    } catch (const std::runtime_error &) {
      continue;
    }
  }
}

/// \brief A connection with a buffer of what was received.
struct connection {
  int Fd = -1;
  std::string Buffer;

  ~connection() { close(); }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }
  bool send(const std::string &Bytes) const {
    std::size_t Sent = 0;
    while (Sent < Bytes.size()) {
      ssize_t N =
          ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
      if (N <= 0)
        return false;
      Sent += static_cast<std::size_t>(N);
    }
    return true;
  }
  /// Reads more into Buffer. \returns 1 for bytes, 0 for the end, -1 for an
  /// error, -2 where nothing came by \p Until.
  int more(steady::time_point Until) {
    auto Left = std::chrono::duration_cast<milliseconds>(Until - steady::now());
    pollfd Poll{Fd, POLLIN, 0};
    int Ready =
        ::poll(&Poll, 1, static_cast<int>(std::max<long>(0, Left.count())));
    if (Ready == 0)
      return -2;
    char Bytes[16384];
    ssize_t N = ::recv(Fd, Bytes, sizeof(Bytes), 0);
    if (N > 0) {
      Buffer.append(Bytes, static_cast<std::size_t>(N));
      return 1;
    }
    return N == 0 ? 0 : -1;
  }
  /// Waits until the other end closes.
  void awaitEnd() {
    while (more(steady::now() + std::chrono::seconds(1)) != 0 && Fd >= 0) {
      pollfd Poll{Fd, POLLIN, 0};
      if (::poll(&Poll, 1, 0) > 0 && (Poll.revents & (POLLHUP | POLLERR)))
        return;
    }
  }
};

using headers = std::map<std::string, std::string>;

/// \brief A request or a response.
struct message {
  std::string First;
  headers Headers;
  std::string Body;
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    std::size_t From = First.find(' ') + 1;
    return First.substr(From, First.find(' ', From) - From);
  }
  std::string path() const { return target().substr(0, target().find('?')); }
  int status() const {
    return std::atoi(First.substr(First.find(' ') + 1).c_str());
  }
  std::string get(const std::string &Name) const {
    auto Found = Headers.find(Name);
    return Found == Headers.end() ? "" : Found->second;
  }
  std::string query(const std::string &Key) const {
    std::string T = target();
    std::size_t Mark = T.find('?');
    if (Mark == std::string::npos)
      return "";
    std::stringstream Parts(T.substr(Mark + 1));
    for (std::string Part; std::getline(Parts, Part, '&');)
      if (Part.compare(0, Key.size() + 1, Key + "=") == 0)
        return Part.substr(Key.size() + 1);
    return "";
  }
};

inline std::string lower(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

enum class read_end { Whole, Closed, Reset, Late, Garbage };

inline std::string toString(read_end End) {
  switch (End) {
  case read_end::Whole:
    return "whole";
  case read_end::Closed:
    return "connection closed";
  case read_end::Reset:
    return "connection reset";
  case read_end::Late:
    return "nothing in time";
  case read_end::Garbage:
    return "bytes that are no message";
  }
  return "";
}

inline read_end endOf(int More) {
  return More == 0    ? read_end::Closed
         : More == -2 ? read_end::Late
                      : read_end::Reset;
}

/// Reads one message whose body has a length. A response to HEAD has none.
inline read_end readMessage(connection &From, message &Into, bool Response,
                            bool NoBody, steady::time_point Until) {
  std::size_t End;
  while ((End = From.Buffer.find("\r\n\r\n")) == std::string::npos) {
    if (Response && From.Buffer.size() >= 7 &&
        From.Buffer.compare(0, 7, "HTTP/1.") != 0)
      return read_end::Garbage;
    int More = From.more(Until);
    if (More != 1)
      return endOf(More);
  }
  if (Response && From.Buffer.compare(0, 7, "HTTP/1.") != 0)
    return read_end::Garbage;
  std::stringstream Lines(From.Buffer.substr(0, End));
  From.Buffer.erase(0, End + 4);
  Into = message();
  std::getline(Lines, Into.First);
  if (!Into.First.empty() && Into.First.back() == '\r')
    Into.First.pop_back();
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Line.find_first_not_of(" \t", Colon + 1);
    Into.Headers[lower(Line.substr(0, Colon))] =
        Value == std::string::npos ? "" : Line.substr(Value);
  }
  if (NoBody)
    return read_end::Whole;
  std::size_t Length =
      std::strtoul(Into.get("content-length").c_str(), nullptr, 10);
  while (From.Buffer.size() < Length) {
    int More = From.more(Until);
    if (More != 1)
      return endOf(More);
  }
  Into.Body = From.Buffer.substr(0, Length);
  From.Buffer.erase(0, Length);
  return read_end::Whole;
}

/// \brief Takes connections and serves each in a thread of its own.
class listener {
public:
  using handler = std::function<void(connection &)>;
  explicit listener(handler Serve, int Port = 0)
      : Serve(std::move(Serve)), Port(Port) {
    start();
  }
  ~listener() { stop(); }
  int port() const { return Port; }
  std::string address() const {
    return std::string(Host) + ":" + std::to_string(Port);
  }
  void start() {
    Fd = listenAt(Port);
    Running = true;
    Acceptor = std::thread([this, At = Fd] { accept(At); });
  }
  /// Stops listening and closes every connection, as a killed process does.
  void stop() {
    if (!Running.exchange(false))
      return;
    ::shutdown(Fd, SHUT_RDWR);
    Acceptor.join();
    ::close(Fd);
    std::lock_guard<std::mutex> Lock(Mutex);
    for (auto &Weak : Open)
      if (auto One = Weak.lock())
        ::shutdown(One->Fd, SHUT_RDWR);
    Open.clear();
  }

private:
  void accept(int At) {
    while (Running) {
      int New = ::accept4(At, nullptr, nullptr, SOCK_CLOEXEC);
      if (New < 0) {
        if (!Running)
          return;
        sleepFor(1);
        continue;
      }
      int One = 1;
      ::setsockopt(New, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
      auto Connection = std::make_shared<connection>();
      Connection->Fd = New;
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Open.push_back(Connection);
      }
      std::thread([this, Connection] { Serve(*Connection); }).detach();
    }
  }

  handler Serve;
  int Port = 0;
  int Fd = -1;
  std::atomic<bool> Running{false};
  std::thread Acceptor;
  std::mutex Mutex;
  std::vector<std::weak_ptr<connection>> Open;
};

/// \brief The platform's store: objects by kind and name, lists, watches.
class store {
public:
  store() : Listener([this](connection &C) { serve(C); }) {}
  ~store() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Stopping = true;
    }
    Changed.notify_all();
    Listener.stop();
    sleepFor(50);
  }
  std::string address() const { return Listener.address(); }

  /// Called before an answer is sent; where it says true the answer is lost,
  /// and nothing further comes on that connection.
  std::function<bool(const message &Request, const std::string &Answer)> Loses;

  /// Writes an object. \returns the revision, which acknowledges it.
  std::uint64_t put(const std::string &Kind, const std::string &Name,
                    const json &Spec) {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Revision;
    Kinds[Kind][Name] = {Revision, Spec};
    History.push_back({Revision, Kind, object(Name, {Revision, Spec}), false});
    Changed.notify_all();
    record("store: " + Kind + "/" + Name + " written, revision " +
           std::to_string(Revision));
    return Revision;
  }
  void erase(const std::string &Kind, const std::string &Name) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Kinds[Kind].find(Name);
    if (Found == Kinds[Kind].end())
      return;
    ++Revision;
    entry Gone = Found->second;
    Gone.Revision = Revision;
    Kinds[Kind].erase(Found);
    History.push_back({Revision, Kind, object(Name, Gone), true});
    Changed.notify_all();
    record("store: " + Kind + "/" + Name + " removed, revision " +
           std::to_string(Revision));
  }

private:
  struct entry {
    std::uint64_t Revision = 0;
    json Spec;
  };
  struct change {
    std::uint64_t Revision;
    std::string Kind;
    json Object;
    bool Deleted;
  };

  static json object(const std::string &Name, const entry &Entry) {
    return {{"meta", {{"name", Name}, {"revision", Entry.Revision}}},
            {"spec", Entry.Spec}};
  }

  void serve(connection &C) {
    message Request;
    while (readMessage(C, Request, false, false,
                       steady::now() + std::chrono::minutes(3)) ==
           read_end::Whole) {
      auto [Status, Body] = answer(Request);
      if (Loses && Loses(Request, Body)) {
        record("store: the answer to " + Request.First + " is lost");
        C.awaitEnd();
        return;
      }
      std::string Text = Body;
      if (!C.send("HTTP/1.1 " + std::to_string(Status) +
                  " X\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(Text.size()) + "\r\n\r\n" + Text))
        return;
    }
  }

  std::pair<int, std::string> answer(const message &Request) {
    const std::string Prefix = "/v1/objects/";
    std::string Path = Request.path();
    if (Path.compare(0, Prefix.size(), Prefix) != 0)
      return {404, "{}"};
    std::string Rest = Path.substr(Prefix.size());
    std::string Kind = Rest.substr(0, Rest.find('/'));
    std::string Name =
        Rest.find('/') == std::string::npos ? "" : Rest.substr(Kind.size() + 1);
    if (!Request.query("watch").empty())
      return watch(Kind, std::stoull(Request.query("watch")),
                   std::atoi(Request.query("waitMs").c_str()));
    if (Request.method() == "GET" && Name.empty())
      return list(Kind);
    return write(Kind, Name, Request);
  }

  std::pair<int, std::string> list(const std::string &Kind) {
    std::lock_guard<std::mutex> Lock(Mutex);
    json Items = json::array();
    for (const auto &[Name, Entry] : Kinds[Kind])
      Items.push_back(object(Name, Entry));
    return {
        200,
        json{{"items", Items}, {"hasMore", false}, {"storeRevision", Revision}}
            .dump()};
  }

  std::pair<int, std::string> watch(const std::string &Kind, std::uint64_t From,
                                    int WaitMs) {
    std::unique_lock<std::mutex> Lock(Mutex);
    auto Until = steady::now() + milliseconds(WaitMs);
    json Events = json::array();
    for (;;) {
      for (const change &Change : History)
        if (Change.Kind == Kind && Change.Revision > From)
          Events.push_back(
              {{"object", Change.Object}, {"deleted", Change.Deleted}});
      if (!Events.empty() || Stopping ||
          Changed.wait_until(Lock, Until) == std::cv_status::timeout)
        break;
    }
    return {200, json{{"events", Events}, {"storeRevision", Revision}}.dump()};
  }

  std::pair<int, std::string> write(const std::string &Kind, std::string Name,
                                    const message &Request) {
    json Root = json::parse(Request.Body, nullptr, false);
    std::uint64_t Expected = 0;
    if (Root.is_object() && Root.contains("meta")) {
      if (Name.empty())
        Name = Root["meta"].value("name", "");
      Expected = Root["meta"].value("revision", std::uint64_t{0});
    }
    if (!Request.query("revision").empty())
      Expected = std::stoull(Request.query("revision"));
    std::optional<entry> Found;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      auto At = Kinds[Kind].find(Name);
      if (At != Kinds[Kind].end())
        Found = At->second;
    }
    bool Create = Request.method() == "POST";
    if (!Create && !Found)
      return {404, "{}"};
    if ((Create && Found) ||
        (Found && Expected != 0 && Expected != Found->Revision))
      return {409, object(Name, *Found).dump()};
    if (Request.method() == "GET")
      return {200, object(Name, *Found).dump()};
    if (Request.method() == "DELETE") {
      erase(Kind, Name);
      return {200, "{}"};
    }
    std::uint64_t Now = put(Kind, Name, Root["spec"]);
    return {Create ? 201 : 200, object(Name, {Now, Root["spec"]}).dump()};
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, entry>> Kinds;
  std::vector<change> History;
  std::uint64_t Revision = 1;
  bool Stopping = false;
  listener Listener;
};

inline std::string responseText(int Status, const headers &Headers,
                                const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " X\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// \brief A server of one service, as PROTOCOL.md describes them.
class server {
public:
  /// Listens at a free port where \p Port is 0.
  server(std::string Id, std::string Service, int Port = 0)
      : Id(std::move(Id)), Service(std::move(Service)),
        Listener([this](connection &C) { serve(C); }, Port) {}

  std::string address() const { return Listener.address(); }
  int port() const { return Listener.port(); }
  const std::string &id() const { return Id; }
  json entry(const std::string &State = "ready") const {
    return {
        {"service", Service}, {"address", address()}, {"zone", "dc1"},
        {"version", "v1"},    {"slots", 3},           {"state", State},
        {"coldLeftMs", 0},    {"sequence", 1},        {"born", 1700000000000}};
  }
  void crash() {
    record("server " + Id + " of " + Service + " crashes");
    Listener.stop();
  }
  void restart() {
    Listener.start();
    record("server " + Id + " of " + Service + " is back");
  }

  /// Whether the server is full and rejects the request.
  std::function<bool(const message &)> Full;
  /// Bytes that the server sends besides, where the next response is expected:
  /// called with each request after the first on a connection, and with the
  /// response before.
  std::function<std::string(const std::string &Before)> Extra;
  /// Answers in the server's place, where it returns true; the connection then
  /// ends.
  std::function<bool(connection &, const message &)> Instead;
  /// Called for each request that runs.
  std::function<void(const message &)> Ran;
  std::string Body = "body";
  int WorkMs = 20;

  std::string stampOf(const message &Request) const {
    return Id + "." + Request.get("x-masticproxy-request-id");
  }

private:
  void serve(connection &C) {
    message Request;
    std::string Before;
    for (;;) {
      message Next;
      if (readMessage(C, Next, false, false,
                      steady::now() + std::chrono::minutes(3)) !=
          read_end::Whole)
        return;
      Request = Next;
      if (!Before.empty() && Extra) {
        std::string More = Extra(Before);
        if (!More.empty()) {
          record("server " + Id +
                 " sends an extra response late: " + shown(More));
          C.send(More);
        }
      }
      if (Instead && Instead(C, Request))
        return;
      Before = respond(Request);
      if (!C.send(Before))
        return;
    }
  }

  std::string respond(const message &Request) {
    std::string RequestId = Request.get("x-masticproxy-request-id");
    headers Out = {{"X-Masticproxy-Request-Id", RequestId}};
    std::string Expected = Request.get("x-masticproxy-expected-instance");
    if (!Expected.empty() && Expected != Id) {
      Out["X-Masticproxy-Not-Executed"] = "1";
      return responseText(421, Out, "");
    }
    if (Full && Full(Request)) {
      record("server " + Id + " of " + Service + " rejects " +
             Request.method() + " " + Request.target() + " id " + RequestId +
             ": full, not run");
      Out["X-Masticproxy-Not-Executed"] = "1";
      return responseText(503, Out, "");
    }
    record("server " + Id + " of " + Service + " RUNS " + Request.method() +
           " " + Request.target() + " id " + RequestId);
    if (Ran)
      Ran(Request);
    sleepFor(WorkMs);
    Out["X-Masticproxy-Server-Stamp"] = stampOf(Request);
    if (Request.method() == "HEAD") {
      std::string Text = responseText(200, Out, Body);
      return Text.substr(0, Text.size() - Body.size());
    }
    return responseText(200, Out, Body);
  }

  std::string Id;
  std::string Service;
  listener Listener;
};

/// \brief A client's connection.
class client {
public:
  explicit client(const std::string &Address) {
    std::size_t Colon = Address.rfind(':');
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port =
        htons(static_cast<uint16_t>(std::stoi(Address.substr(Colon + 1))));
    ::inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &To.sin_addr);
    C.Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Connected =
        ::connect(C.Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0;
  }
  bool connected() const { return Connected; }
  bool send(const std::string &Bytes) const { return C.send(Bytes); }
  read_end read(message &Into, bool Head = false, int WithinMs = 8000) {
    return readMessage(C, Into, true, Head,
                       steady::now() + milliseconds(WithinMs));
  }
  connection C;

private:
  bool Connected = false;
};

inline std::string requestText(const std::string &Method,
                               const std::string &Target, const std::string &Id,
                               const std::string &Body = "",
                               int DeadlineMs = 3000) {
  std::string Text =
      Method + " " + Target +
      " HTTP/1.1\r\nHost: site.example\r\n"
      "X-Masticproxy-Request-Id: " +
      Id + "\r\nX-Masticproxy-Deadline-Ms: " + std::to_string(DeadlineMs) +
      "\r\n";
  if (!Body.empty())
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

/// \brief What came back for one request.
struct reply {
  read_end End = read_end::Reset;
  message Response;
};

inline std::string shown(const reply &R) {
  if (R.End != read_end::Whole)
    return toString(R.End);
  std::string Text = R.Response.First;
  for (const char *Name :
       {"x-masticproxy-server-stamp", "x-masticproxy-part-stamps",
        "x-masticproxy-missing-parts"})
    if (R.Response.Headers.count(Name) > 0)
      Text += std::string(" ") + Name + "=[" + R.Response.get(Name) + "]";
  return Text + " body=[" + shown(R.Response.Body) + "]";
}

/// Sends one request over a connection that is open, and records both.
inline reply exchange(client &Over, const std::string &Method,
                      const std::string &Target, const std::string &Id,
                      const std::string &Body = "", int DeadlineMs = 3000) {
  record("client sends " + Method + " " + Target + " id " + Id);
  reply R;
  Over.send(requestText(Method, Target, Id, Body, DeadlineMs));
  R.End = Over.read(R.Response, Method == "HEAD", DeadlineMs + 3000);
  record("client gets for id " + Id + ": " + shown(R));
  return R;
}

inline reply exchange(const std::string &Address, const std::string &Method,
                      const std::string &Target, const std::string &Id,
                      const std::string &Body = "", int DeadlineMs = 3000) {
  client Over(Address);
  return exchange(Over, Method, Target, Id, Body, DeadlineMs);
}

/// \brief One entry VM: the daemon, started as the deploy file says.
class vm {
public:
  vm(const std::string &Root, const std::string &Folder,
     const std::string &Store, const std::string &Name = "edge-1")
      : Name(Name), Settings(Folder + "/" + Name + ".conf"),
        Log(Folder + "/" + Name + ".log") {
    Front = std::string(Host) + ":" + std::to_string(freePort());
    Ready = std::string(Host) + ":" + std::to_string(freePort());
    std::ifstream In(Root + "/deploy/node.toml");
    std::stringstream Text;
    Text << In.rdbuf();
    std::string Filled = Text.str();
    std::map<std::string, std::string> Fields = {
        {"nodeName", Name},
        {"zone", "dc1"},
        {"ip", Host},
        {"listenAddrs.front", Front},
        {"listenAddrs.ready", Ready},
        {"internalPortRange.0", std::to_string(freePort())},
        {"platform.address", Store},
        {"bounds.configApplyMs", "3000"},
        {"bounds.drainMs", "3000"},
        {"bounds.stableWindowMs", "4000"},
        {"bounds.budgetWindowS", "10"}};
    for (const auto &[Field, Value] : Fields) {
      std::string Place = "{{" + Field + "}}";
      for (std::size_t At; (At = Filled.find(Place)) != std::string::npos;)
        Filled.replace(At, Place.size(), Value);
    }
    std::ofstream(Settings) << Filled;
    Program = Root + "/target/bin/masticproxyd";
    if (::access(Program.c_str(), X_OK) != 0)
      throw std::runtime_error("no target/bin/masticproxyd: build it first");
    start(Root);
  }
  ~vm() {
    kill();
    ::unlink(Settings.c_str());
    ::unlink(Log.c_str());
  }

  void start(const std::string &Root) {
    Pid = ::fork();
    if (Pid == 0) {
      // Ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      if (::chdir(Root.c_str()) != 0)
        ::_exit(127);
      ::execl(Program.c_str(), Program.c_str(), "--settings", Settings.c_str(),
              static_cast<char *>(nullptr));
      ::_exit(127);
    }
    record("daemon " + Name + " started");
  }
  /// \returns how the process ended, nothing while it runs.
  std::optional<int> ended() {
    if (Pid <= 0)
      return Status;
    int Now = 0;
    if (::waitpid(Pid, &Now, WNOHANG) == Pid) {
      Status = Now;
      Pid = -1;
    }
    return Status;
  }
  pid_t pid() const { return Pid; }
  void signal(int Number) const {
    if (Pid > 0)
      ::kill(Pid, Number);
  }
  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
  void awaitReady() {
    for (int I = 0; I < 150; ++I) {
      // deploy/wire.toml maps the platform's call to this page.
      client C(Ready);
      message Response;
      if (C.connected() && C.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
          C.read(Response, false, 1000) == read_end::Whole &&
          Response.status() == 200) {
        record("daemon " + Name + " is ready");
        return;
      }
      sleepFor(100);
    }
    throw std::runtime_error("the daemon does not get ready: " + shown(log()));
  }
  std::string log() const {
    std::ifstream In(Log);
    std::stringstream Text;
    Text << In.rdbuf();
    return Text.str();
  }

  std::string Front;
  std::string Ready;

private:
  std::string Name;
  std::string Settings;
  std::string Log;
  std::string Program;
  pid_t Pid = -1;
  std::optional<int> Status;
};

/// \brief What a case is run with.
struct setting {
  std::string Root;
  std::string Folder;
  bool Trouble = true;
};

inline json limitsNode() {
  return {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 65536},
          {"headerTimeoutMs", 5000},
          {"idleTimeoutMs", 20000}};
}

inline json routeNode(const std::string &Name, const std::string &Prefix,
                      const std::string &Type, int Attempts = 2) {
  return {{"name", Name},
          {"hostname", "site.example"},
          {"pathPrefix", Prefix},
          {"routeType", Type},
          {"timeoutMs", 3000},
          {"targetLatencyMs", 500},
          {"maxAttempts", Attempts},
          {"priority", 1}};
}

inline json serviceNode(const std::string &Name) {
  return {{"name", Name}, {"maxConns", 60}, {"healthPath", "/health"}};
}

/// Runs a case: main() of each case calls it. Words: the repository's root, the
/// case's folder, and whether it runs with the disruption or without.
inline int runCase(int Count, char **Words,
                   const std::function<int(const setting &)> &Body) {
  std::string Trouble = Count == 4 ? Words[3] : "";
  if (Trouble != "with" && Trouble != "without") {
    std::fprintf(stderr, "usage: case ROOT FOLDER with|without\n");
    return CouldNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  setting Setting;
  Setting.Root = Words[1];
  Setting.Trouble = Trouble == "with";
  char Temporary[] = "/tmp/review-XXXXXX";
  if (!::mkdtemp(Temporary))
    return CouldNotRun;
  Setting.Folder = Temporary;
  theRecord().open(std::string(Words[2]) + "/record.txt");
  record(std::string("TROUBLE=") + (Setting.Trouble ? "1" : "0"));
  int Status = CouldNotRun;
  try {
    Status = Body(Setting);
  } catch (const std::exception &Error) {
    record(std::string("could not run: ") + Error.what());
    std::printf("could not run: %s\n", Error.what());
  }
  record("exit " + std::to_string(Status));
  ::rmdir(Setting.Folder.c_str());
  std::fflush(stdout);
  // Threads of stand-ins may still wait for connections.
  ::_exit(Status);
}

inline int verdict(bool IsBroken, const std::string &Text) {
  record(std::string(IsBroken ? "BROKEN: " : "held: ") + Text);
  std::printf("%s%s\n", IsBroken ? "BROKEN: " : "held: ", Text.c_str());
  return IsBroken ? Broken : Held;
}

} // namespace review

#endif
